package cwserver_test

import (
	qt "github.com/frankban/quicktest"

	"cicadawalk.example/cicadawalk/internal/core/cwgroup"
	"cicadawalk.example/cicadawalk/internal/core/cwsession"
)

// forgeToken returns a well-formed session token with an arbitrary log position.
func forgeToken(c *qt.C, group string, m cwgroup.LogPosition) string {
	t := cwsession.Token{}.WithPosition(group, m).String()
	c.Assert(t, qt.Not(qt.Equals), "")
	return t
}
