package store

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/store/gateway"
)

// GrantLease creates a lease. ttl is rounded up to whole seconds, the unit of the store. After ErrUncertain a lease may
// exist that no client renews; it expires after ttl.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp gateway.LeaseResponse
	if err := c.call(ctx, opGrant, gateway.GrantRequest{TTL: seconds}, &resp); err != nil {
		return 0, err
	}
	if resp.ID == 0 {
		return 0, fail(opGrant, errors.New("response without lease id"), ErrUncertain)
	}
	return LeaseID(resp.ID), nil
}

// KeepAlive renews a lease and returns its remaining time from the moment at which the store handled the call.
// Errors match ErrLeaseNotFound, ErrUnavailable or ErrUncertain.
func (c *Client) KeepAlive(ctx context.Context, lease LeaseID) (remaining time.Duration, err error) {
	var resp gateway.KeepAliveResponse
	if err := c.call(ctx, opKeepAlive, gateway.LeaseRequest{ID: int64(lease)}, &resp); err != nil {
		return 0, err
	}
	if resp.Error != nil {
		return 0, gatewayError(opKeepAlive, *resp.Error)
	}
	if resp.Result == nil {
		return 0, fail(opKeepAlive, errors.New("response without result"), ErrUncertain)
	}
	if resp.Result.TTL <= 0 {
		return 0, errors.Annotatef(ErrLeaseNotFound, "lease %d", lease)
	}
	return time.Duration(resp.Result.TTL) * time.Second, nil
}

// RevokeLease ends a lease and deletes its keys. Errors match ErrLeaseNotFound, ErrUnavailable or ErrUncertain.
func (c *Client) RevokeLease(ctx context.Context, lease LeaseID) error {
	var resp gateway.RevokeResponse
	if err := c.call(ctx, opRevoke, gateway.LeaseRequest{ID: int64(lease)}, &resp); err != nil {
		return err
	}
	if resp.Header == nil {
		return fail(opRevoke, errors.New("response without header"), ErrUncertain)
	}
	return nil
}
