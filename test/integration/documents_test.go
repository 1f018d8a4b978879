package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

const (
	// inEffectLimit is the time within which an accepted document must be in effect on every entry host (I10).
	inEffectLimit = 7 * time.Second
	documentKey   = "/fulmarcourse/production/control/document"
	watchInterval = 50 * time.Millisecond
)

// revised returns a document that is different for each number.
func revised(number int) string {
	return strings.Replace(cluster.SmallDocument, "[team cutters]\ncpu = 64", fmt.Sprintf("[team cutters]\ncpu = %d", 64+number), 1)
}

// versionWatch polls every entry host for its document in effect until it is closed. It records versions that decrease
// and versions that have two digests.
type versionWatch struct {
	stop    chan struct{}
	pollers sync.WaitGroup

	mu         sync.Mutex
	digests    map[int64]structs.Digest
	violations []string
}

func watchVersions(c *cluster.Cluster) *versionWatch {
	w := &versionWatch{stop: make(chan struct{}), digests: map[int64]structs.Digest{}}
	for _, id := range c.Entries() {
		w.pollers.Go(func() { w.poll(id, base(c, id)) })
	}
	return w
}

func (w *versionWatch) poll(id structs.HostID, base string) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var last int64
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
		if record, ok := cluster.CurrentDocument(base); ok {
			w.observe(id, record, last)
			last = record.Version
		}
	}
}

func (w *versionWatch) observe(id structs.HostID, record structs.DocumentRecord, last int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if record.Version < last {
		w.violations = append(w.violations, fmt.Sprintf("%s reverted from version %d to %d", id, last, record.Version))
	}
	if digest, found := w.digests[record.Version]; found && digest != record.Digest {
		w.violations = append(w.violations, fmt.Sprintf("version %d has digests %s and %s", record.Version, digest, record.Digest))
	}
	w.digests[record.Version] = record.Digest
}

// close stops polling and fails the test for every recorded violation.
func (w *versionWatch) close(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.pollers.Wait()
	for _, v := range w.violations {
		t.Error(v)
	}
}

// publisher promotes one document after another.
type publisher struct {
	t       *testing.T
	c       *cluster.Cluster
	version int64 // latest accepted version
}

// promote tries and promotes the next document through an entry host, requires the given status, and returns the time
// of the response.
func (p *publisher) promote(through structs.HostID, want int) time.Time {
	p.t.Helper()
	digest := p.try(through)
	status := cluster.PromoteStatus(base(p.c, through), digest, p.version)
	respondedAt := time.Now()
	if status != want {
		p.t.Fatalf("promotion of version %d through %s: status %d, want %d", p.version+1, through, status, want)
	}
	if status == http.StatusOK {
		p.version++
	}
	return respondedAt
}

func (p *publisher) try(through structs.HostID) string {
	p.t.Helper()
	var digest string
	p.c.Await("the next document passes its try", func() bool {
		tried, ok := p.c.Try(base(p.c, through), revised(int(p.version)))
		digest = tried
		return ok
	})
	return digest
}

// awaitEverywhere waits until the latest version is in effect on the given hosts and fails the test if that took longer
// than inEffectLimit since the given time.
func (p *publisher) awaitEverywhere(phase string, since time.Time, hosts ...structs.HostID) {
	p.t.Helper()
	for _, id := range hosts {
		p.c.Await(fmt.Sprintf("%s: version %d at %s", phase, p.version, id), func() bool {
			record, ok := cluster.CurrentDocument(base(p.c, id))
			return ok && record.Version == p.version
		})
	}
	if took := time.Since(since); took > inEffectLimit {
		p.t.Errorf("%s: version %d was in effect everywhere after %s", phase, p.version, took)
	}
}

// Guards against an accepted document that is not in effect on every host within the limit, or that a host reverts: on
// hosts cut off from the store, after a lost response, after the entry host that handled the command was killed, and on
// hosts that restart during an outage of the store. A host without a document must not be ready.
func TestPromotedDocumentInEffectEverywhere(t *testing.T) {
	c := start(t, twoDatacentres())
	watch := watchVersions(c)
	defer watch.close(t)
	p := &publisher{t: t, c: c, version: 1}
	all := c.Entries()

	p.awaitEverywhere("no fault", p.promote("a-entry-0", http.StatusOK), all...)

	c.CutStore("b-entry-0", "b-entry-1")
	p.awaitEverywhere("cut off from the store", p.promote("a-entry-0", http.StatusOK), all...)
	c.Heal()

	c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: documentKey, Count: 1})
	p.awaitEverywhere("response lost", p.promote("a-entry-1", http.StatusOK), all...)

	respondedAt := p.promote("b-entry-1", http.StatusOK)
	c.Kill("b-entry-1")
	p.awaitEverywhere("entry host killed", respondedAt, "a-entry-0", "a-entry-1", "b-entry-0")
	c.Restart("b-entry-1")
	c.AwaitReady("b-entry-1")

	restartDuringOutage(p, "a-entry-0")
	unknownPromotion(p)
	p.awaitEverywhere("after all faults", p.promote("b-entry-0", http.StatusOK), all...)
}

// restartDuringOutage restarts a host while the store is down. The host is isolated from all others at first, and
// connected to its peers again afterwards.
func restartDuringOutage(p *publisher, id structs.HostID) {
	p.t.Helper()
	c := p.c
	digest := p.try(id)
	c.Platform.Store.SetDown(true)
	if status := cluster.PromoteStatus(base(c, "b-entry-0"), digest, p.version); status != http.StatusServiceUnavailable {
		p.t.Errorf("promotion during an outage: status %d", status)
	}
	c.Kill(id)
	c.CutLinks(func(from, to string) bool { return from == string(id) || to == string(id) })
	c.Restart(id)
	c.Await("the host serves", func() bool { return cluster.RespondsOK(base(c, id), "/healthz") })
	servingSince := time.Now()
	c.Await("several polls have failed", func() bool {
		if cluster.RespondsOK(base(c, id), "/readyz") {
			p.t.Fatalf("%s is ready without a document", id)
		}
		return time.Since(servingSince) > 3*time.Second
	})
	c.Heal()
	c.AwaitReady(id)
	p.awaitEverywhere("restarted during an outage", time.Now(), id)
	c.Platform.Store.SetDown(false)
}

// unknownPromotion loses the response to a promotion and takes the store down with it. The outcome must be reported as
// unknown, the document must be in effect on every host after the outage, and a repeated promotion must not apply it
// again.
func unknownPromotion(p *publisher) {
	p.t.Helper()
	p.c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: documentKey, Count: 1, Down: true})
	p.promote("a-entry-1", http.StatusGatewayTimeout)
	p.c.Platform.Store.SetDown(false)
	recovered := time.Now()
	p.version++
	p.awaitEverywhere("unknown outcome", recovered, p.c.Entries()...)
	p.version--
	p.promote("a-entry-1", http.StatusConflict)
	p.version++
}
