package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/control"
)

// putRetryInterval is the pause between attempts of PutDocument.
const putRetryInterval = 100 * time.Millisecond

// PutDocument tries and promotes the first document of an environment, for standalone mode. It retries until it
// succeeds, which requires that the control service has read the store, or until ctx ends.
func (n *Node) PutDocument(ctx context.Context, text string) error {
	for {
		err := n.putDocument(ctx, text)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(err)
		case <-time.After(putRetryInterval):
		}
	}
}

func (n *Node) putDocument(ctx context.Context, text string) error {
	if _, _, ok := n.control.Document(); ok {
		return nil
	}
	tried, err := n.control.Try(ctx, text, "standalone")
	if err != nil {
		return errors.Trace(err)
	}
	_, err = n.control.Promote(ctx, control.PromoteRequest{Digest: tried.Digest, ExpectedVersion: 0, Author: "standalone"})
	return errors.Trace(err)
}
