//! Bookings under a configuration.

use settings::Config;
use settings::booking::Asked;

/// A booking for the route /pay/ of room at this service.
fn booked_at(service: &str) -> Asked {
    let body = format!(
        r#"{{"route_refs":["pay"],"service_ref":"{service}","flight_count":8,"opens_ms":1000,"closes_ms":9000}}"#
    );
    Asked::read(body.as_bytes()).expect("a proper booking")
}

// Guards against an operator who cannot book room ahead of the configuration that moves requests to a new service.
#[test]
fn room_may_be_booked_at_a_service_on_standby_and_not_at_one_that_the_route_does_not_name() {
    let config = Config::read(
        br#"{"config_version":"00000001","limits":{},
        "route_list":{"column_set":["entity_name","host_name","path_prefix","route_kind","deadline_ms","weighted_split"],
        "row_set":[["pay","h","/pay/","unsafe",2000,
        [{"service_ref":"stilt","split_weight":0},{"service_ref":"heron","split_weight":100}]]]},
        "service_list":{"column_set":["entity_name"],"row_set":[["heron"],["stilt"],["crane"]]}}"#,
    );
    let config = config.expect("a proper configuration");
    for (service, taken) in [("heron", true), ("stilt", true), ("crane", false)] {
        assert_eq!(booked_at(service).under(&config).is_ok(), taken, "{service}");
    }
}
