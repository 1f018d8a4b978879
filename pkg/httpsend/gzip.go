package httpsend

import (
	"compress/gzip"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// decoders keeps gzip readers, since a new one allocates 40 KB for its window.
var decoders sync.Pool

// bodyOf returns the reader of the response body without its content encoding, and a function to call after reading.
// An incomplete body fails, because gzip ends with a checksum.
func bodyOf(resp *http.Response) (body io.Reader, done func(), err error) {
	if resp.Header.Get("Content-Encoding") != "gzip" {
		return resp.Body, func() {}, nil
	}
	decoder, known := decoders.Get().(*gzip.Reader)
	if known {
		err = decoder.Reset(resp.Body)
	} else {
		decoder, err = gzip.NewReader(resp.Body)
	}
	if err != nil {
		return nil, nil, errors.Annotate(err, "compressed response")
	}
	return decoder, func() { decoders.Put(decoder) }, nil
}
