package crashguard

// A Tally holds crashes under fingerprints of two kinds. That of a request stands for its workspace, target and body, and so
// for all its repeats. That of a part stands for one part of a prompt in any request.

// partBit is set in the fingerprints of parts and unset in those of requests.
const partBit = 1 << 63

// PartFingerprint returns the fingerprint of a part of a prompt. Its other bits are those of the part's id, so that it
// can be recognized in logs.
func PartFingerprint(id uint64) uint64 {
	return id | partBit
}

// RequestFingerprint returns the fingerprint of a request for use in a Tally, from its hash.
func RequestFingerprint(hash uint64) uint64 {
	return hash &^ partBit
}

// IsPart reports whether a fingerprint is that of a part.
func IsPart(fingerprint uint64) bool {
	return fingerprint&partBit != 0
}
