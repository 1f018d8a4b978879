package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// hostKey is the metadata key with the name of the host that a call is meant for. Its suffix allows for any characters in the name.
// Servers of former versions ignore it, and their clients do not send it.
const hostKey = "fulmarcourse-host-bin"

// otherHostCode is the status code of a call that is meant for another host. No service between entry hosts returns it otherwise.
const otherHostCode = codes.PermissionDenied

// ForHost returns a context for calls to the process of a host. Entry hosts may take over addresses of each other, so that another
// host answers at an address that the caller has kept; its process refuses these calls, see IsOtherHost. Without a name, any host may
// answer.
func ForHost(ctx context.Context, host string) context.Context {
	if host == "" {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, hostKey, host)
}

// IsOtherHost reports whether a call has failed because the process at the address belongs to another host than the one of ForHost.
// Nothing of the call was carried out.
func IsOtherHost(err error) bool { return err != nil && status.Code(err) == otherHostCode }

// refuseOtherHosts returns an interceptor that refuses calls which are meant for a host other than this one, before their handlers run.
func refuseOtherHosts(self string) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		for _, host := range metadata.ValueFromIncomingContext(ctx, hostKey) {
			if host != self {
				return nil, status.Errorf(otherHostCode, "the call is meant for host %.100q and was received by host %.100q", host, self)
			}
		}
		return handler(ctx, req)
	}
}
