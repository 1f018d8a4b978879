package httpsend

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against returning a compressed response without decompression, accepting one that exceeds the limit after
// decompression or is incomplete, and requesting compression although it is not configured.
func TestCompressedResponses(t *testing.T) {
	text := strings.Repeat("inventory ", 100)
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, _ = writer.Write([]byte(text))
	_ = writer.Close()
	cases := []struct {
		name   string
		gzip   bool
		body   []byte
		max    int64
		wantOK bool
	}{
		{"complete", true, compressed.Bytes(), 2000, true},
		{"complete, with a reused decoder", true, compressed.Bytes(), 2000, true},
		{"too long", true, compressed.Bytes(), 999, false},
		{"incomplete", true, compressed.Bytes()[:compressed.Len()-4], 2000, false},
		{"not requested", false, []byte(text), 2000, true},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if requested := r.Header.Get("Accept-Encoding") == "gzip"; requested != c.gzip {
				t.Errorf("%s: compression requested: %t", c.name, requested)
			}
			if c.gzip {
				w.Header().Set("Content-Encoding", "gzip")
			}
			_, _ = w.Write(c.body)
		}))
		resp, err := NewClient(Config{Name: "test", MaxBody: c.max, Gzip: c.gzip}).Post(t.Context(), server.URL, nil, []byte("body"))
		if (err == nil) != c.wantOK || (c.wantOK && string(resp.Body) != text) {
			t.Errorf("%s: got %d bytes, error %v", c.name, len(resp.Body), err)
		}
		server.Close()
	}
}
