package cwfeed

import "strconv"

// Version is a point in the order of all that the store has acknowledged. The zero
// value comes before everything.
//
// The failure: the store comes back from a copy of its data some seconds old and
// counts its changes on from there, so that a number is given out twice. By its
// numbers alone all that it tells from then on is older than what is known, and is
// left out; or what is missing is taken as told; or a row that has changed passes
// for the one that was read. It shows as a desired state that is never in force, or
// as two holders of one claim. The era comes first, and it rises with each such
// return: so versions never fall, and none is given out twice.
type Version uint64

// numberBits is the part of a Version that counts the changes of an era: at 1,200
// changes a second they last for 29 years.
const numberBits = 40

// Bounds of the parts of a Version. They fit together into 63 bits, since a version
// also serves as a fencing token, and others may keep those as signed numbers.
const (
	maxNumber = 1<<numberBits - 1
	maxEra    = 1<<(63-numberBits) - 1
)

// RangeError reports an era or number that no Version can hold.
type RangeError struct{ Era, Number uint64 }

func (e *RangeError) Error() string {
	return "version out of range: era " + strconv.FormatUint(e.Era, 10) + ", number " + strconv.FormatUint(e.Number, 10)
}

// At returns the version of a change by its number in an era. The error is a
// *RangeError.
func At(era, number uint64) (Version, error) {
	if era > maxEra || number > maxNumber {
		return 0, &RangeError{Era: era, Number: number}
	}
	return Version(era<<numberBits | number), nil
}

// Era returns how often the store had come back from an older copy.
func (v Version) Era() uint64 { return uint64(v) >> numberBits }

// Number returns the number of the change in its era.
func (v Version) Number() uint64 { return uint64(v) & maxNumber }

// String returns era and number for logs.
func (v Version) String() string {
	return strconv.FormatUint(v.Era(), 10) + "." + strconv.FormatUint(v.Number(), 10)
}
