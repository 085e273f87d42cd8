// Package membership decides from when to when a VM may act as the home of customers,
// so that no two VMs are home of the same customer at the same time.
//
// The leader publishes lists of the VMs, and each VM derives the homes from the list
// that it has. Lists reach the VMs at different times, or not at all. Therefore:
//
//   - A VM may act under its list while the leader promised to keep it as a member, or
//     while it leads itself; after it has released its lease, under its own list until
//     the lease would have ended. Without a leader it may go on until shortly after the
//     end of the lease of the leader that it followed, as long as more than half of
//     the witnesses of its list attest that they still have this list. All these
//     times count from before the VM sent its request, by the boot-time clock.
//   - A VM that becomes home of a customer waits until its list is settled: every VM
//     that may act under an earlier list has confirmed the new one, or can no longer
//     act. The leader decides that. An isolated leader thus settles no list before
//     the VMs on the other side have stopped, by which time its lease has ended.
//   - Whether VMs act under the lists of an earlier term is not known to a new leader.
//     It waits until all such rights have ended, or until each VM that may act under
//     lists of before has called. These are known from a VM whose right has not lapsed:
//     they are on the lists that it has had from the last settled one on.
//   - A VM whose right has lapsed may act again under the same list only if the leader
//     that published it confirms that it is still the newest one. Under any other
//     list it waits like a VM that becomes home.
//
// A witness tells the leader for how long its last attestation may still be relied on.
// Half of the witnesses of a list, once they have confirmed a later list, thus prevent
// that any VM goes on under the earlier one without a leader.
//
// Standing is the state of a VM, Registry that of the leader. Both do no I/O and read
// no clock: the caller passes in the time. They are not safe for concurrent use.
package membership

import "time"

const (
	// MinTTL is the shortest time for which the leader keeps a VM as a member after a
	// call. ttlMargin is how much earlier the VM stops acting on it.
	MinTTL    = 1300 * time.Millisecond
	ttlMargin = 300 * time.Millisecond
	// leaderlessGrace is how long after the end of the leader's lease a VM may act
	// without a leader. It covers the election of the next leader, and ends before
	// that leader settles its first list.
	leaderlessGrace = 900 * time.Millisecond
	// maxLeaderlessGrace is leaderlessGrace as measured by the clock of another VM.
	maxLeaderlessGrace = time.Second
	// AttestTTL is how long after it was asked for an attestation may be relied on.
	AttestTTL = 500 * time.Millisecond
	// attestLead is how long before the end of a right a VM asks for attestations.
	attestLead = 400 * time.Millisecond
	// MaxWitnesses bounds the witnesses of a list, so that the calls of the VMs that
	// have lost the leader do not grow with the fleet.
	MaxWitnesses = 7
)
