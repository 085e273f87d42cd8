package slicemap

import (
	"math/bits"

	"godwitlock.example/godwitlock/topo"
)

// The parameters of 64-bit FNV-1a
// (http://www.isthe.com/chongo/tech/comp/fnv/).
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns the 64-bit FNV-1a hash of a key, passed through the 64-bit finaliser
// of MurmurHash3. The finaliser is needed because FNV-1a alone leaves the top bits of
// short keys nearly equal, and SliceOf uses the top bits.
func Hash[K ~string | ~[]byte](key K) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(key); i++ {
		h = (h ^ uint64(key[i])) * fnvPrime
	}
	return mix(h)
}

// mix is the 64-bit finaliser of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// SliceOf maps a hash uniformly to one of n slices. If n is a power of two, the
// result equals the top bits of the hash.
func SliceOf(hash uint64, n uint32) topo.SliceID {
	hi, _ := bits.Mul64(hash, uint64(n))
	return topo.SliceID(hi)
}
