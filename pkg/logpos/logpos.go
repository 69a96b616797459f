// Package logpos identifies records of the platform's log.
//
// The store of the log may come back from an older copy. It then gives out again the offsets after the end of the copy, so
// an offset alone names different records before and after. The era, which rises with each restore, tells them apart.
package logpos

import "cmp"

// Position identifies a record of one topic of the log, or the end of the topic. The zero value is before all records.
type Position struct {
	// Era is the number that the store gives in its answers. It rises by one with each restore.
	Era int64
	// Offset numbers the records of a topic from 0 within an era. A copy keeps the offsets of its records.
	Offset int64
}

// Compare returns a negative number if p is before q, a positive one if it is after q, and zero if they are equal. Every
// position of an era is after those of earlier eras.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool {
	return p.Compare(q) < 0
}

// After reports whether p is after q.
func (p Position) After(q Position) bool {
	return p.Compare(q) > 0
}

// Next returns the position of the record that follows p.
func (p Position) Next() Position {
	return Position{Era: p.Era, Offset: p.Offset + 1}
}

// Previous returns the position of the record before p.
func (p Position) Previous() Position {
	return Position{Era: p.Era, Offset: p.Offset - 1}
}

// Max returns the later of two positions.
func Max(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
