package topo

// Era counts how often the platform's store has come back from an older copy of
// itself. Within an era revisions only rise; a new era starts at a lower revision and
// gives out the same numbers again.
type Era uint64

// eraShift is the position of the era in a Revision. 40 bits are left for the store's
// counter.
const eraShift = 40

// RevisionOf returns the revision at which the store's counter had the given value in
// an era. Revisions of a later era are higher than all of an earlier one.
func RevisionOf(era Era, counter uint64) Revision {
	return Revision(uint64(era)<<eraShift | counter&(1<<eraShift-1))
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> eraShift) }

// Counter returns the value of the store's counter at the revision.
func (r Revision) Counter() uint64 { return uint64(r) & (1<<eraShift - 1) }
