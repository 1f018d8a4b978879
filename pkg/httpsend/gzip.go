package httpsend

import (
	"compress/gzip"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// decoders is a pool of gzip readers, because a new reader allocates 40 KB for its window.
var decoders sync.Pool

// decodedBody returns a reader of the decompressed response body, and a function to call after reading. Reading an
// incomplete body fails, because gzip data ends with a checksum.
func decodedBody(resp *http.Response) (body io.Reader, done func(), err error) {
	if resp.Header.Get("Content-Encoding") != "gzip" {
		return resp.Body, func() {}, nil
	}
	decoder, reused := decoders.Get().(*gzip.Reader)
	if reused {
		err = decoder.Reset(resp.Body)
	} else {
		decoder, err = gzip.NewReader(resp.Body)
	}
	if err != nil {
		return nil, nil, errors.Annotate(err, "compressed response")
	}
	return decoder, func() { decoders.Put(decoder) }, nil
}
