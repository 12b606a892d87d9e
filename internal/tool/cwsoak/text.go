package cwsoak

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
)

// maxDrawnBytes is the greatest length of the drawn part of a text.
const maxDrawnBytes = 40

// probeItem is the item that the check of the recovery writes.
const probeItem = "check"

// pieces are texts with a meaning to one of the protocols that a statement passes.
var pieces = []string{"\r", "\n", "\n\r", "\x00", "\xff", "\"", "\\", "'", "\nQUERY - STATUS", "\nREADY I -", "AFTER 9.9 ", "{", "\u2028", "=", " "}

// drawBytes returns bytes that may stand at the end of a message, and always the same for a name.
func drawBytes(name string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	r := rand.New(rand.NewPCG(h.Sum64(), 0))
	var b strings.Builder
	for n := r.IntN(maxDrawnBytes); b.Len() < n; {
		if r.IntN(4) == 0 {
			b.WriteString(pieces[r.IntN(len(pieces))])
			continue
		}
		b.WriteByte(byte(r.UintN(256)))
	}
	text := b.String()
	for strings.Contains(text, "\r\n") {
		text = strings.ReplaceAll(text, "\r\n", "\n")
	}
	return text
}

// itemName returns the name of a caller's item: any bytes that are one field of a message.
func itemName(caller, n int) string {
	name := "i" + strconv.Itoa(caller) + "-" + strconv.Itoa(n)
	return name + strings.ReplaceAll(drawBytes(name), " ", "_")
}

// writtenText returns what the write of a number to an item contains: the number and drawn bytes.
func writtenText(item string, n int) string {
	number := strconv.Itoa(n)
	return number + " " + drawBytes(item+" "+number)
}

// writtenNumber returns the number in a text that was read from an item. It returns false if the
// text is not the one that was written with that number.
func writtenNumber(item, text string) (int, bool) {
	number, _, _ := strings.Cut(text, " ")
	n, err := strconv.Atoi(number)
	return n, err == nil && text == writtenText(item, n)
}
