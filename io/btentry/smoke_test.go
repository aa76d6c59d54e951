package btentry_test

import ("testing"; "net/http"; "fmt")

func TestSmoke(t *testing.T) {
	w := newWorld(t, []place{{name: "p1", service: plain, handler: newPlain(t, "p1"), slots: 4}, {name: "m1", service: model, handler: newEngine(t, "m1"), slots: 4}}, nil)
	r := w.do(http.MethodPost, "/services/pages/a/b?x=1", "hello")
	fmt.Println(r.StatusCode, r.Header, r.body)
	r = w.do(http.MethodPost, "/v1/chat/completions", `{"model":"drafting","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hi"}]}`)
	fmt.Println(r.StatusCode, r.Header, r.body, r.Trailer)
}
