package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/fault"
)

func FuzzEventID(f *testing.F) {
	f.Add("12.00000000000000ff.upstream-1.lot-7")
	f.Add("1.x.y")
	f.Add("4294967296.0.a.b")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ParseEventID(s)
		if err != nil {
			if fault.CodeOf(err) != fault.BadRequest {
				t.Fatalf("error without fault code bad_request: %v", err)
			}
			return
		}
		again, err := ParseEventID(id.String())
		if err != nil || again != id {
			t.Fatalf("round trip of %v: got %v, error %v", id, again, err)
		}
	})
}

func FuzzCompletionBody(f *testing.F) {
	f.Add(`{"model":"lug-7b","prompt":"p","max_tokens":5}`, false)
	f.Add(`{"model":"lug-7b","messages":[{"role":"user","content":[{"type":"text","text":"p"}]}]}`, true)
	f.Add(`{"prompt":3,"n":2}`, false)
	f.Add(`{"max_tokens":4294967295,"prompt":"p"}`, false)
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		p, err := parseCompletion(echo.New().NewContext(r, httptest.NewRecorder()), chat)
		if err != nil && fault.CodeOf(err) != fault.BadRequest {
			t.Fatalf("error without fault code bad_request: %v", err)
		}
		if err == nil && (p.maxTokens == 0 || p.maxTokens > maxTokensLimit || p.text == "") {
			t.Fatalf("invalid request accepted: %+v", p)
		}
	})
}
