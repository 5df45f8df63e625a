//! The stored format of records: each event must be read and written byte for byte as earlier builds wrote
//! it.
use heronslip_scale::soak::record::Record;

/// Every event once, and again for each value of its enumerated fields.
const LINES: &str = r#"{"at":0,"event":"started","front_end":0,"version":1}
{"at":1,"event":"ready","front_end":0}
{"at":2,"event":"signalled","front_end":0,"signal":"term"}
{"at":3,"event":"signalled","front_end":0,"signal":"hup"}
{"at":4,"event":"signalled","front_end":0,"signal":"kill"}
{"at":5,"event":"ended","front_end":0,"killed":true,"how":"signal: 9 (SIGKILL)"}
{"at":6,"event":"usage","front_end":1,"descriptors":17,"memory_mb":4.5}
{"at":7,"event":"listed","version":2,"worker":3,"process":1,"state":"ready","late_start":true}
{"at":8,"event":"listed","version":3,"worker":3,"process":1,"state":"draining","late_start":false}
{"at":9,"event":"listed","version":4,"worker":3,"process":1,"state":"gone","late_start":false}
{"at":10,"event":"worker_started","worker":3,"process":2}
{"at":11,"event":"outage_began","front_end":0,"outage":"refused"}
{"at":12,"event":"outage_began","front_end":0,"outage":"mid_event"}
{"at":13,"event":"outage_began","front_end":0,"outage":"silent"}
{"at":14,"event":"outage_began","front_end":0,"outage":"hanging"}
{"at":15,"event":"outage_ended","front_end":0}
{"at":16,"event":"board_asked","front_end":0}
{"at":17,"event":"board_told","front_end":0,"version":4}
{"at":18,"event":"sent","front_end":0,"connection":5,"request":1,"class":2,"wait":1000000}
{"at":19,"event":"answered","front_end":0,"request":1,"answer":"served"}
{"at":20,"event":"answered","front_end":0,"request":1,"answer":"wrong_body"}
{"at":21,"event":"answered","front_end":0,"request":1,"answer":"refused"}
{"at":22,"event":"answered","front_end":0,"request":1,"answer":"failed"}
{"at":23,"event":"left","request":1}
{"at":24,"event":"connection_ended","front_end":0,"connection":5,"open":[1,2]}
{"at":25,"event":"received","worker":3,"process":1,"front_end":0,"link":9,"began":24,"command":{"call":{"request":1,"budget_ms":750}}}
{"at":26,"event":"received","worker":3,"process":1,"front_end":0,"link":9,"began":25,"command":{"give_up":{"request":1}}}
{"at":27,"event":"received","worker":3,"process":1,"front_end":0,"link":9,"began":26,"command":{"order":{"copies":1}}}
{"at":28,"event":"received","worker":3,"process":1,"front_end":0,"link":9,"began":27,"command":"probe"}
{"at":29,"event":"replied","worker":3,"front_end":0,"request":1,"reply":"ok"}
{"at":30,"event":"replied","worker":3,"front_end":0,"request":1,"reply":"error"}
{"at":31,"event":"replied","worker":3,"front_end":0,"request":1,"reply":"turned_away"}
{"at":32,"event":"replied","worker":3,"front_end":0,"request":1,"reply":"spoilt"}
{"at":33,"event":"link_ended","link":9}
{"at":34,"event":"bad_client","front_end":0,"client":7}
{"at":35,"event":"bad_client_heard","client":7}
{"at":36,"event":"injected","front_end":0,"calls":[1,2,3,4,5,6,7,8]}
{"at":37,"event":"fault","text":"Kill { front_end: 0 }"}"#;

#[test]
fn records_are_read_and_written_in_the_stored_format() {
    for line in LINES.lines() {
        let record: Record = serde_json::from_str(line).expect(line);
        assert_eq!(serde_json::to_string(&record).expect(line), line);
    }
}
