package store

import "fulmarcourse.example/fulmarcourse/pkg/store/gateway"

func toKeyValue(kv gateway.KeyValue) KeyValue {
	return KeyValue{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Lease:          LeaseID(kv.Lease),
	}
}

func toKeyValues(kvs []gateway.KeyValue) []KeyValue {
	out := make([]KeyValue, 0, len(kvs))
	for _, kv := range kvs {
		out = append(out, toKeyValue(kv))
	}
	return out
}

// prefixEnd returns the first key after all keys with the prefix, in the same way as the etcd clients.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // without a prefix, the range has no end
}
