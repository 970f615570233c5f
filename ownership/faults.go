package ownership

// faults disables individual safeguards; all are enabled in production. Only tests of this
// package set it, to show which invariant each safeguard protects.
type faults struct {
	noContactCheck    bool // acts without contact with a majority
	noSuspension      bool // acknowledges members that were reported silent
	noGrantorWait     bool // treats a lease as expired after the first failed call
	noEpochOrder      bool // adopts assignments of any version
	noReleaseTracking bool // grants released partitions again
}
