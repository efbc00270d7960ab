// Malformed requests get an error of the right type and are not run; the entry keeps
// serving and logs no key.
import "common" as common;
let f = fleet(#{ entries: 1, engines: 1, entry_extra: "limits:\n  max_body_bytes: 4096\n  body_timeout_ms: 700\n" });
common::publish(f, 1000000, 2000000);

fn head(path) {
    "POST " + path + " HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer demo-key\r\n"
}
fn request(path, headers, body) {
    head(path) + "content-length: " + body.len() + "\r\n" + headers + "\r\n" + body
}
fn expect(f, sent, status, type) {
    let answer = f.raw("entry-1", sent);
    check(answer.starts_with(`HTTP/1.1 ${status}`), `${status} ${type}: ${answer}`);
    check(answer.contains(`"type":"${type}"`) && answer.contains("not-run"), `${type}: ${answer}`);
}
let chat = "/v1/chat/completions";
expect(f, request(chat, "", "{not json"), 400, "bad_request");
expect(f, request(chat, "", "[1]"), 400, "bad_request");
expect(f, request(chat, "", "{\"model\":\"council-001\"}"), 400, "bad_request");
expect(f, request(chat, "", "{\"messages\":[]}"), 400, "bad_request");
expect(f, request(chat, "", "{\"model\":7,\"messages\":[]}"), 400, "bad_request");
expect(f, request(chat, "", "{\"model\":\"council-001\",\"messages\":[],\"max_tokens\":-1}"), 400, "bad_request");
expect(f, request(chat, "", "{\"model\":\"council-999\",\"messages\":[]}"), 404, "not_found");
expect(f, request(chat, "", "{\"model\":\"council-001@77\",\"messages\":[]}"), 404, "not_found");
expect(f, request(chat, "", "{\"model\":\"council-001\",\"messages\":[],\"max_tokens\":9000000}"), 413, "beyond_burst");
expect(f, request(chat, "content-type: text/plain\r\n", "{}"), 415, "wrong_content_type");
expect(f, request("/v1/nothing", "", "{}"), 404, "not_found");
expect(f, request("/svc/unknown/orders", "", "{}"), 404, "not_found");
expect(f, request("/svc/orders/orders", "", "{}"), 400, "bad_request");
let long = "x"; for i in 0..13 { long += long; }
expect(f, request(chat, "", long), 413, "too_large");
// A body that is never completed.
let promised = head(chat) + "content-length: 100\r\n\r\n{";
expect(f, promised, 408, "too_slow");
// A request head that is too long, and bytes that are not HTTP.
let longer = ""; for i in 0..9 { longer += long; }
let answered = f.raw("entry-1", "GET / HTTP/1.1\r\nhost: x\r\nlong: " + longer + "\r\n\r\n");
check(answered == "" || answered.starts_with("HTTP/1.1 4"), "request head too long: " + answered);
let noise = blob(64, 0xfe);
let answer = f.raw_bytes("entry-1", noise);
check(answer == "" || answer.starts_with("HTTP/1.1 400"), "not HTTP: " + answer);
// A body that is not valid UTF-8.
let bytes = request(chat, "", "{\"model\":\"council-001\",\"messages\":\"zz\"}").to_blob();
for i in 0..bytes.len() { if bytes[i] == 0x7a { bytes[i] = 0xff; } }
answer = f.raw_bytes("entry-1", bytes);
check(answer.starts_with("HTTP/1.1 400"), "invalid UTF-8: " + answer);
check(f.chat("entry-1", "demo-key", "council-001", "still here", 4).status == 200, "the entry still serves requests");
check(!f.logs_contain("demo-key"), "no log contains the key");
check(f.violations().is_empty(), "no violations: " + f.violations());
