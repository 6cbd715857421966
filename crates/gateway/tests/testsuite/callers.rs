//! Tests of request forwarding, configuration, API keys, quotas, readiness, cancellation, draining
//! endpoints, malformed messages and the timeout of long polls.

use std::{rc::Rc, time::Duration};

use baobabvane_gateway::{Configuration, Quota, QuotaUnit, Semantics};
use http::Method;
use monoio::{io::AsyncWriteRentExt, time::sleep};

use crate::{
    endpoint::{Endpoint, Script},
    fixture::{
        GatewayFixture, HOST, MEMORY_BYTES, block_on, events, eventually, organisation, route,
    },
};

#[test]
fn request_is_forwarded_without_hop_by_hop_headers_and_with_the_gateways_own() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "done")]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let headers = [
            ("baobabvane-time-left-ms", "1500"),
            ("baobabvane-expected-endpoint", "forged"),
            ("baobabvane-organisation", "forged"),
            ("authorization", "Bearer k1"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("x-end", "2"),
        ];
        let mut caller = gateway.connect_caller().await;
        let answer = caller.request(Method::POST, "/postings/a?b=c", &headers).await.unwrap();
        assert_eq!((answer.status.as_u16(), answer.body.as_str()), (200, "done"));
        assert_eq!(answer.headers["baobabvane-signature"], "s");
        let received = &endpoint.received_requests()[0];
        assert_eq!(received.request_line, "POST /postings/a?b=c HTTP/1.1");
        assert_eq!(received.body, b"body");
        assert_eq!(received.header("host"), Some("desk.example"));
        assert_eq!(received.header("baobabvane-request-id"), Some("r1"));
        assert_eq!(received.header("baobabvane-expected-endpoint"), Some("e1"));
        assert_eq!(received.header("baobabvane-organisation"), None);
        assert_eq!(received.header("authorization"), None);
        assert_eq!(received.header("x-hop"), None);
        assert_eq!(received.header("x-end"), Some("2"));
        let time_left_ms: u64 =
            received.header("baobabvane-time-left-ms").unwrap().parse().unwrap();
        assert!(time_left_ms < 1_500, "{time_left_ms}");
    });
}

#[test]
fn instance_is_ready_once_it_has_configuration_and_endpoints() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let routes = vec![route("reads", Semantics::Idempotent)];
        let configuration = Configuration { version: 1, routes, ..Configuration::default() };
        let gateway = GatewayFixture::start_unconfigured(configuration).await;
        assert_eq!(gateway.ready_status().await, 503);
        let early = gateway.get("/reads/").await;
        assert_eq!(early.status, 503);
        assert!(early.headers.contains_key("retry-after"));
        gateway.feed.configuration_changed(gateway.configuration.clone());
        assert_eq!(gateway.ready_status().await, 503);
        gateway.list_endpoints(&[&endpoint]);
        assert_eq!(gateway.ready_status().await, 200);
        assert_eq!(gateway.get("/reads/").await.status, 200);
    });
}

#[test]
fn unknown_routes_and_keys_are_rejected_only_under_a_confirmed_configuration() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let configuration = Configuration {
            version: 1,
            routes: vec![route("reads", Semantics::Idempotent)],
            organisations: vec![organisation("growers", "k1")],
            ..Configuration::default()
        };
        let gateway = GatewayFixture::start_unconfigured(configuration).await;
        gateway.feed.configuration_changed(gateway.configuration.clone());
        gateway.list_endpoints(&[&endpoint]);
        assert_eq!(gateway.get("/other/").await.status, 503);
        assert_eq!(gateway.get("/reads/").await.status, 503);
        gateway.feed.configuration_confirmed();
        assert_eq!(gateway.get("/other/").await.status, 404);
        assert_eq!(gateway.get("/reads/").await.status, 401);
        let mut caller = gateway.connect_caller().await;
        let key = [("authorization", "Bearer k1")];
        let answer = caller.request(Method::GET, "/reads/", &key).await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(
            endpoint.received_requests()[0].header("baobabvane-organisation"),
            Some("growers")
        );
    });
}

#[test]
fn older_configuration_is_ignored() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let newer = Configuration { version: 5, ..gateway.configuration.clone() };
        gateway.feed.configuration_changed(newer);
        gateway
            .feed
            .configuration_changed(Configuration { version: 4, ..Configuration::default() });
        assert_eq!(gateway.get("/reads/").await.status, 200);
    });
}

#[test]
fn organisation_over_its_quota_gets_429_with_retry_after() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "")]);
        let mut growers = organisation("growers", "k1");
        let unit = QuotaUnit::Requests;
        growers.quota = Some(Quota { unit, per_s: 0.001, burst: 1.0 });
        let configuration = Configuration {
            version: 1,
            routes: vec![route("reads", Semantics::Idempotent)],
            organisations: vec![growers, organisation("menders", "k2")],
            ..Configuration::default()
        };
        let gateway = GatewayFixture::start_with(&[&endpoint], configuration).await;
        let mut caller = gateway.connect_caller().await;
        let answer = caller.request(Method::GET, "/reads/", &[("authorization", "Bearer k1")]);
        let answer = answer.await.unwrap();
        assert_eq!(answer.status, 429);
        assert!(answer.headers.contains_key("retry-after"));
        let other = caller.request(Method::GET, "/reads/", &[("authorization", "Bearer k2")]);
        assert_eq!(other.await.unwrap().status, 200);
        assert_eq!(endpoint.received_requests().len(), 1);
    });
}

#[test]
fn caller_disconnect_cancels_its_request() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Hang]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        let mut caller = gateway.connect_caller().await;
        caller.send(Method::POST, "/postings/", &[]).await.unwrap();
        eventually(|| endpoint.received_requests().len() == 1).await;
        drop(caller);
        eventually(|| endpoint.cancelled_requests() == 1).await;
    });
}

#[test]
fn draining_endpoint_gets_no_new_requests() {
    block_on(async {
        let draining = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "old")]);
        let serving = Endpoint::spawn("e2", "desk", &[Script::Answer(200, "new")]);
        let gateway = GatewayFixture::start(&[&draining, &serving]).await;
        let mut entry = draining.entry.clone();
        entry.is_draining = true;
        gateway.feed.endpoint_updated(entry);
        for _ in 0..10 {
            assert_eq!(gateway.get("/reads/").await.body, "new");
        }
        gateway.feed.endpoint_removed("e2");
        assert_eq!(gateway.get("/reads/").await.status, 503);
    });
}

#[test]
fn long_poll_timeout_leaves_most_of_the_bound_to_the_other_instances() {
    block_on(async {
        let gateway = GatewayFixture::start(&[]).await;
        let bound = std::time::Duration::from_secs(2);
        // An instance without peers polls the store itself, so this resolves at once.
        gateway.feed.until_must_poll(bound).await;
        for _ in 0..1_000 {
            let timeout = gateway.feed.draw_long_poll_timeout(bound);
            let share = timeout.as_secs_f64() / bound.as_secs_f64();
            assert!((0.175..=0.35).contains(&share), "{timeout:?}");
            let of_a_long_bound = gateway.feed.draw_long_poll_timeout(2 * bound);
            assert!(of_a_long_bound <= bound && of_a_long_bound >= bound / 2, "{timeout:?}");
        }
    });
}

#[test]
fn malformed_messages_on_any_listener_leave_the_instance_serving() {
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Answer(200, "done")]);
        let gateway = GatewayFixture::start(&[&endpoint]).await;
        gateway.feed.set_fleet_secret("secret");
        let messages: [&[u8]; 5] = [
            b"\xff\xff\xff\xff garbage",
            b"\0\0\0\x04\xff\xff\xff\xff",
            b"GET / HTTP/9.9\r\n\r\n",
            b"POST /reads/ HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
            &[0; 2_000],
        ];
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for message in messages {
            socket.send_to(message, gateway.peer_address).unwrap();
            for address in gateway.listeners() {
                let mut stream = monoio::net::TcpStream::connect_addr(address).await.unwrap();
                stream.write_all(message.to_vec()).await.0.unwrap();
            }
        }
        assert_eq!(gateway.get("/reads/").await.body, "done");
        assert_eq!(gateway.ready_status().await, 200);
        assert_eq!(endpoint.received_requests().len(), 1);
    });
}

#[test]
fn request_at_an_endpoint_that_leaves_discovery_runs_to_its_end() {
    block_on(async {
        let script = Script::SlowEvents(Duration::from_millis(200), 5);
        let endpoint = Endpoint::spawn("e1", "desk", &[script]);
        let other = Endpoint::spawn("e2", "other", &[Script::Hang]);
        let gateway = GatewayFixture::start(&[&endpoint, &other]).await;
        let mut caller = gateway.connect_caller().await;
        caller.send(Method::POST, "/answers/", &[]).await.unwrap();
        eventually(|| endpoint.received_requests().len() == 1).await;
        // The endpoint was only silent: its entry lapses and comes back while the request runs.
        gateway.feed.endpoint_removed("e1");
        sleep(Duration::from_millis(300)).await;
        gateway.feed.endpoint_updated(endpoint.entry.clone());
        let (text, end) = caller.read_pieces().await;
        assert_eq!((text, end.is_ok()), (events(1, 5), true));
        assert_eq!((endpoint.received_requests().len(), endpoint.cancelled_requests()), (1, 0));
    });
}

/// Guards against large bodies of many requests that together exceed the memory of the process.
#[test]
fn large_bodies_share_a_part_of_the_memory() {
    const BODY_BYTES: usize = 4 << 20;
    const FITTING: usize = MEMORY_BYTES / 4 / BODY_BYTES;
    block_on(async {
        let endpoint = Endpoint::spawn("e1", "desk", &[Script::Hang]);
        let gateway = Rc::new(GatewayFixture::start(&[]).await);
        let mut entry = endpoint.entry.clone();
        entry.slots = 100;
        gateway.list_entries(vec![entry]);
        let upload = || {
            let gateway = Rc::clone(&gateway);
            monoio::spawn(async move {
                let mut caller = gateway.connect_caller().await;
                let headers = [("host", HOST), ("baobabvane-request-id", "r1")]
                    .map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap()));
                let headers = headers.into_iter().collect();
                let body = vec![b'x'; BODY_BYTES].into();
                caller.send_body(Method::POST, "/postings/", &headers, body).await.unwrap();
                let answer = caller.read_answer(&Method::POST).await.unwrap();
                (answer.status.as_u16(), answer.headers.contains_key("retry-after"))
            })
        };
        let fitting: Vec<_> = (0..FITTING).map(|_| upload()).collect();
        eventually(|| endpoint.received_requests().len() == FITTING).await;
        for request in (0..3).map(|_| upload()).collect::<Vec<_>>() {
            assert_eq!(request.await, (503, true));
        }
        // Small requests need none of that memory.
        let mut small = gateway.connect_caller().await;
        small.send(Method::POST, "/postings/", &[]).await.unwrap();
        eventually(|| endpoint.received_requests().len() == FITTING + 1).await;
        drop(fitting);
    });
}
