package slicemap

import "godwitlock.example/godwitlock/topo"

// The checksum of a table is the sum of one hash per item, so that updating it takes
// time proportional to the size of the change. Unowned slices that never had an
// owner and free hot slots contribute zero, so a new service needs no pass over its
// slices.

func combine(h uint64, words ...uint64) uint64 {
	for _, w := range words {
		h = mix(h ^ w*0x9e3779b97f4a7c15)
	}
	return h
}

func (s *Service) headerSum() uint64 {
	return combine(s.seed, 1, uint64(s.slices), Hash(string(s.kind)))
}

func (s *Service) serverSum(i int) uint64 {
	v := &s.servers[i]
	h := combine(s.seed, 2, uint64(i), uint64(v.Slots), uint64(v.MaxConns), uint64(v.State),
		v.flags(),
		uint64(v.HomeSince.Term), v.HomeSince.Seq, uint64(v.ReleasingSince.Term), v.ReleasingSince.Seq)
	return combine(h, Hash(string(v.ID)), Hash(v.Addr), Hash(string(v.DataCentre)), Hash(string(v.Home)), Hash(v.HomeAddr))
}

func (s *Service) entrySum(id topo.SliceID) uint64 {
	e := s.chunks[id/chunkSize][id%chunkSize]
	if e == (Entry{Owner: NoOwner, Next: NoOwner}) {
		return 0
	}
	return entrySum(s.seed, uint64(id), e)
}

func (s *Service) hotSum(slot int) uint64 {
	h := s.hot[slot]
	if h.Key == "" {
		return 0
	}
	return combine(entrySum(s.seed, uint64(s.slices)+uint64(slot), h.Entry), Hash(h.Key))
}

func entrySum(seed, id uint64, e Entry) uint64 {
	return combine(seed, 3, id, uint64(e.Fence.Term), e.Fence.Seq,
		uint64(e.Owner)<<32|uint64(e.Next)<<8|uint64(e.Phase))
}

// fullSum returns the sum over all items of the service.
func (s *Service) fullSum() uint64 {
	sum := s.headerSum()
	for i := range s.servers {
		sum += s.serverSum(i)
	}
	for i := range s.slices {
		sum += s.entrySum(topo.SliceID(i))
	}
	for i := range s.hot {
		sum += s.hotSum(i)
	}
	return sum
}

// flags packs the boolean fields of a server into bits. Checksums and the encoding
// of deltas use them.
func (s *Server) flags() uint64 {
	return boolBit(s.ChecksGrants) | boolBit(s.Releasing)<<1 | boolBit(s.NoPriorLease)<<2
}

func boolBit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
