package ownership

// faults turns single guards off. Only tests of this package set it, to show
// which invariant each guard protects.
type faults struct {
	noContactCheck    bool // acts without contact with a majority
	noSuspension      bool // acknowledges members that were reported silent
	noGrantorWait     bool // counts a lease as lapsed with the first failed call
	noEpochOrder      bool // adopts assignments of any version
	noReleaseTracking bool // grants released partitions again
}
