package cwfeed

import "strconv"

// Version is a position in the order of all changes that the store has
// acknowledged. It consists of an era and the number of the change within the
// era. The zero Version precedes all changes.
//
// The store can be restored from a copy of its data that is some seconds old. It
// then continues to count from the copy, and assigns numbers a second time. With
// numbers alone, changes after the restore would seem older than the known ones
// and be ignored, missing changes would count as received, and a changed row
// would be taken for the one that was read before. The effects are a desired
// state that is never applied, or two holders of one claim. The era increases
// with each restore and precedes the number in the order, so versions never
// decrease and none is assigned twice.
type Version uint64

// numberBits is the number of bits of a Version that hold the number of a change
// within its era. At 1,200 changes per second they last for 29 years.
const numberBits = 40

// Bounds of the parts of a Version. Together they fit into 63 bits, because a
// version also serves as a fencing token, which other systems may store as a
// signed integer.
const (
	maxNumber = 1<<numberBits - 1
	maxEra    = 1<<(63-numberBits) - 1
)

// RangeError reports an era or number that is too large for a Version.
type RangeError struct{ Era, Number uint64 }

func (e *RangeError) Error() string {
	return "version out of range: era " + strconv.FormatUint(e.Era, 10) + ", number " + strconv.FormatUint(e.Number, 10)
}

// NewVersion returns the version of the change with the given number in an era. It
// returns a *RangeError if either is too large.
func NewVersion(era, number uint64) (Version, error) {
	if era > maxEra || number > maxNumber {
		return 0, &RangeError{Era: era, Number: number}
	}
	return Version(era<<numberBits | number), nil
}

// Era returns the number of times that the store had been restored from an older
// copy.
func (v Version) Era() uint64 { return uint64(v) >> numberBits }

// Number returns the number of the change within its era.
func (v Version) Number() uint64 { return uint64(v) & maxNumber }

// String formats the version for logs as era.number.
func (v Version) String() string {
	return strconv.FormatUint(v.Era(), 10) + "." + strconv.FormatUint(v.Number(), 10)
}
