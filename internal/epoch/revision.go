// Package epoch orders the revisions of a store that may come back from an older copy. The store then gives out the revisions since the copy
// again, and begins a new era.
package epoch

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Revision is a store's revision within an era. Revisions are comparable: all those of a later era are greater than those of an earlier one.
// The zero value is before all revisions. Between nodes it travels as an unsigned integer.
type Revision uint64

const (
	// numberBits is the size of the store's own revision in a Revision; the era takes the bits above.
	numberBits = 48
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// New returns the revision for a number that the store gave out in an era. It returns an error if one of them is out of range.
func New(era, number uint64) (Revision, error) {
	if era > maxEra || number > maxNumber {
		return 0, errors.Newf("revision %d of era %d exceeds %d of era %d", number, era, uint64(maxNumber), uint64(maxEra))
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the era.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the store's own revision, which is ambiguous without the era.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }

// String returns era and number, such as 2.58.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era(), 10) + "." + strconv.FormatUint(r.Number(), 10)
}
