package btstandin_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"

	"bilberrytide/io/btstandin"
)

func ExampleNewPlain() {
	plain, err := btstandin.NewPlain(btstandin.PlainOptions{Name: "booking-1", Clock: btstandin.SystemClock{}})
	if err != nil {
		fmt.Println(err)
		return
	}
	for range 2 {
		r := httptest.NewRequest(http.MethodPost, "/receipts", strings.NewReader("two seats"))
		r.Header.Set(btstandin.IdempotencyKeyHeader, "key-1")
		plain.ServeHTTP(httptest.NewRecorder(), r)
	}
	fmt.Println("key-1 ran", plain.Executions().Keys["key-1"], "times")
	// Output: key-1 ran 2 times
}

func ExampleAnswer() {
	text, err := btstandin.Answer([]byte(`{"max_tokens":2,"messages":[{"role":"user","content":"hi"}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(text)
	// Output: 7391f4e5c6c63076.0 7391f4e5c6c63076.1
}
