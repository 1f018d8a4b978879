package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// callStore sends a call to a store and returns the status and the body of the response.
func callStore(s *Store, method, path string, body any) (int, []byte) {
	response := httptest.NewRecorder()
	s.ServeHTTP(response, httptest.NewRequest(method, path, bytes.NewReader(mustMarshal(body))))
	return response.Code, response.Body.Bytes()
}

func commit(s *Store, t txn) int {
	status, _ := callStore(s, http.MethodPost, "/fulmarcourse/kv-txn", t)
	return status
}

// Guards against a fake store that accepts writes which the platform's store refuses: tests would not show who sends them.
func TestStoreRefusesWhatThePlatformRefuses(t *testing.T) {
	s := NewStore(1)
	defer s.Close()
	s.SetLimits(Limits{ValueBytes: 10})
	write := func(key string, size int) txn { return txn{Set: []putEntry{{Key: key, Value: make([]byte, size)}}} }
	entries := func(n int) txn {
		var out txn
		for i := range n {
			out.Expect = append(out.Expect, condition{Key: fmt.Sprint("none", i)})
		}
		return out
	}
	refused := 0
	for name, c := range map[string]struct {
		txn  txn
		want int
	}{
		"value at the limit":       {write("k", 10), 200},
		"value above the limit":    {write("k", 11), 400},
		"key at the limit":         {write(strings.Repeat("k", 200), 1), 200},
		"key above the limit":      {write(strings.Repeat("k", 201), 1), 400},
		"empty key":                {write("", 1), 400},
		"32 entries":               {entries(32), 200},
		"33 entries":               {entries(33), 400},
		"key of the operator":      {write("op/config", 1), 403},
		"key of a worker":          {write("servers/w", 1), 403},
		"removal of an entry":      {txn{Remove: []string{"servers/w"}}, 403},
		"condition on an entry":    {txn{Expect: []condition{{Key: "servers/w"}}}, 200},
		"condition that fails":     {txn{Expect: []condition{{Key: "none", Revision: 7}}}, 412},
		"lease that does not live": {txn{Set: []putEntry{{Key: "k", Lease: 99}}}, 404},
	} {
		if got := commit(s, c.txn); got != c.want {
			t.Errorf("%s: status %d, want %d", name, got, c.want)
		}
		if c.want == 400 || c.want == 403 {
			refused++
		}
	}
	if got := s.Refusals(); len(got) != refused {
		t.Errorf("%d refusals recorded, want %d: %v", len(got), refused, got)
	}
	for ttl, want := range map[time.Duration]int{
		999 * time.Millisecond: 400, time.Second: 200, 10 * time.Minute: 200, 10*time.Minute + time.Millisecond: 400,
	} {
		if got, _ := callStore(s, http.MethodPost, "/fulmarcourse/kv-lease", leaseBody{TTLMs: ttl.Milliseconds()}); got != want {
			t.Errorf("lease of %v: status %d, want %d", ttl, got, want)
		}
	}
}

// Guards against pages of the fake store that are larger than those of the platform's, or that never end at a large item.
func TestPagesEndAtTheirSize(t *testing.T) {
	s := NewStore(1)
	defer s.Close()
	s.SetLimits(Limits{PageItems: 3, PageBytes: 10})
	for key, size := range map[string]int{"a": 4, "b": 4, "c": 4, "d": 100, "e": 1, "f": 1, "g": 1, "h": 1} {
		s.PutRaw("p/"+key, make([]byte, size))
	}
	var pages []string
	for after, more := "", true; more; {
		status, body := callStore(s, http.MethodGet, "/fulmarcourse/kv-range?prefix=p/&after="+after, nil)
		var page struct {
			Items   []item
			HasMore bool
		}
		if err := json.Unmarshal(body, &page); status != 200 || err != nil || len(page.Items) == 0 {
			t.Fatalf("status %d, %v: %s", status, err, body)
		}
		keys := ""
		for _, i := range page.Items {
			keys, after = keys+i.Key[2:], i.Key
		}
		pages, more = append(pages, keys), page.HasMore
	}
	if got := strings.Join(pages, " "); got != "ab c d efg h" {
		t.Errorf("pages %s", got)
	}
}

// Guards against a fake store that admits any rate of calls. A renewal has a tenth of the price of a read, a read that may be
// outdated none.
func TestStoreRefusesCallsBeyondItsRates(t *testing.T) {
	s := NewStore(1)
	defer s.Close()
	admitted := func(n int, path string) int {
		s.SetLimits(Limits{WritesPerS: 0.5, ReadsPerS: 3})
		s.reads, s.writes = rateLimit{}, rateLimit{}
		count := 0
		for range n {
			if status, _ := callStore(s, http.MethodGet, path, nil); status != http.StatusTooManyRequests {
				count++
			}
		}
		return count
	}
	for path, want := range map[string]int{
		"/fulmarcourse/kv-key?key=k": 3, "/fulmarcourse/kv-key?key=k&staleOk=1": 40, "/fulmarcourse/kv-keep/7": 30,
		"/fulmarcourse/kv-txn": 0,
	} {
		if got := admitted(40, path); got != want {
			t.Errorf("%s: %d of 40 calls admitted, want %d", path, got, want)
		}
	}
}

// Guards against a call whose connection breaks before its body is complete and that is recorded as refused for good.
func TestIncompleteCallIsNoRefusal(t *testing.T) {
	s := NewStore(1)
	defer s.Close()
	for _, path := range []string{"/fulmarcourse/kv-txn", "/fulmarcourse/kv-lease"} {
		func() {
			defer func() {
				if recover() != http.ErrAbortHandler {
					t.Errorf("%s: the call was answered", path)
				}
			}()
			body := io.MultiReader(strings.NewReader(`{"ttlMs":1`), iotest.ErrReader(io.ErrUnexpectedEOF))
			s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, body))
		}()
	}
	if got := s.Refusals(); len(got) != 0 {
		t.Errorf("refusals %v", got)
	}
}
