package engine

import (
	"bytes"
	"testing"

	"bilberrylug.dev/core/fault"
)

func FuzzReadStream(f *testing.F) {
	f.Add([]byte("data: {\"token_index\":0,\"choices\":[{\"text\":\" a\"}]}\n\ndata: [DONE]\n"))
	f.Add([]byte("data: {\"token_index\":1,\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n"))
	f.Add([]byte("data: {\"choices\":[]}\n"))
	f.Add([]byte("data: {"))
	f.Fuzz(func(t *testing.T, body []byte) {
		err := readStream(bytes.NewReader(body), func(Token) error { return nil })
		if err != nil && fault.CodeOf(err) != fault.UpstreamLost {
			t.Fatalf("error without fault code upstream_lost: %v", err)
		}
	})
}
