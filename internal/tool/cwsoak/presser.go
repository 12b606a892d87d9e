package cwsoak

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"cicadawalk.example/cicadawalk/internal/core/cwstatement"
	"cicadawalk.example/cicadawalk/internal/proxy/cwport"
)

// pressItemPrefix begins the names of items that no check looks at.
const pressItemPrefix = "press-"

// Lengths of what pressing callers send, in bytes.
const (
	longText  = 1_000_000
	smallText = 60_000
)

// memoryForm is a way to make an instance hold memory.
type memoryForm struct {
	name string
	// sessions is the number of callers, each of which runs session after session.
	sessions int
	// session runs one session until it ends or ctx ends.
	session func(c *presser, ctx context.Context)
}

// memoryForms are all ways. The number of long writes is bounded, since targets keep them.
var memoryForms = []memoryForm{
	{"settings", 1, func(c *presser, ctx context.Context) { c.repeat(ctx, 256, "SET v%d "+strings.Repeat("x", longText)) }},
	{"settingsOfMany", 120, func(c *presser, ctx context.Context) {
		c.repeat(ctx, 8, "SET v%d "+strings.Repeat("x", smallText))
	}},
	{"prepared", 1, func(c *presser, ctx context.Context) {
		c.repeat(ctx, 256, "PREPARE p%d READ "+strings.Repeat("x", longText))
	}},
	{"ids", 120, (*presser).longIDs},
	{"reads", 100, func(c *presser, ctx context.Context) {
		c.repeat(ctx, 64, "READ "+pressItemPrefix+"%d"+strings.Repeat("x", longText))
	}},
	{"transactions", 20, (*presser).longTransaction},
	{"partial", 350, func(c *presser, ctx context.Context) {
		c.sendAndWait(ctx, c.env.cfg.Platform.Query("p", "READ "+strings.Repeat("x", longText)), true)
	}},
	{"startups", 350, (*presser).longStartup},
	{"unread", 100, (*presser).unreadAnswers},
}

// presser is a caller that makes an instance hold memory.
type presser struct {
	env     *environment
	id      int
	process *process
}

// presserPause is the time between two sessions of a presser.
const presserPause = 5 * time.Millisecond

func (c *presser) run(ctx context.Context, f memoryForm) {
	for sleep(ctx, presserPause) {
		f.session(c, ctx)
	}
}

// dial opens a session.
func (c *presser) dial(ctx context.Context) (cwport.TargetConn, error) {
	to := cwport.Endpoint{Service: "newest-" + c.env.groups[0].Service, Address: c.process.callerAddress}
	t, err := c.env.cfg.Platform.Caller.Dial(ctx, to, c.env.access.currentKey(soakWorkspace))
	if err != nil {
		return nil, err
	}
	return t, t.SetTimeout(answerTimeout)
}

// repeat sends a text n times in one session, each with its number, and waits for the answers.
func (c *presser) repeat(ctx context.Context, n int, format string) {
	t, err := c.dial(ctx)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	for i := range n {
		_, err := roundTrip(t, cwstatement.Command{ID: "p", Text: fmt.Sprintf(format, i)})
		if err != nil || ctx.Err() != nil {
			return
		}
	}
	// The session keeps what it has until the form is over.
	<-ctx.Done()
}

// longIDs sets short values by statements with long ids.
func (c *presser) longIDs(ctx context.Context) {
	t, err := c.dial(ctx)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	for i := range 8 {
		_, err := roundTrip(t, cwstatement.Command{ID: strings.Repeat("i", longText), Text: fmt.Sprintf("SET v%d x", i)})
		if err != nil || ctx.Err() != nil {
			return
		}
	}
	<-ctx.Done()
}

// longTransaction runs long statements in a transaction and rolls it back.
func (c *presser) longTransaction(ctx context.Context) {
	t, err := c.dial(ctx)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	if _, err := roundTrip(t, cwstatement.Command{ID: "b", Text: "BEGIN"}); err != nil {
		return
	}
	for range 20 {
		text := "WRITE " + pressItemPrefix + "t " + strings.Repeat("x", longText)
		if a, err := roundTrip(t, cwstatement.Command{ID: "w", Text: text}); err != nil || a.Code != cwstatement.OK || ctx.Err() != nil {
			return
		}
	}
}

// sendAndWait opens a session and sends bytes, without the last one if partial is set. It reads
// nothing until the connection or ctx ends.
func (c *presser) sendAndWait(ctx context.Context, b []byte, partial bool) {
	p := c.env.cfg.Platform
	c.sendRaw(ctx, append(p.Startup("newest-"+c.env.groups[0].Service, c.env.access.currentKey(soakWorkspace)), b...), partial)
}

func (c *presser) sendRaw(ctx context.Context, b []byte, partial bool) {
	conn, err := net.Dial("tcp4", c.process.callerAddress)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if partial {
		b = b[:len(b)-1]
	}
	if _, err := conn.Write(b); err != nil {
		return
	}
	<-ctx.Done()
}

// longStartup sends a long startup message without its end.
func (c *presser) longStartup(ctx context.Context) {
	c.sendRaw(ctx, c.env.cfg.Platform.Startup(strings.Repeat("x", longText), "key"), true)
}

// unreadAnswers writes a long item, and reads it many times without taking the answers.
func (c *presser) unreadAnswers(ctx context.Context) {
	item := pressItemPrefix + "unread"
	if c.id == 0 {
		c.writeOnce(ctx, item)
	}
	var b []byte
	for range 32 {
		b = append(b, c.env.cfg.Platform.Query("r", "READ "+item)...)
	}
	c.sendAndWait(ctx, b, false)
}

func (c *presser) writeOnce(ctx context.Context, item string) {
	t, err := c.dial(ctx)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	// If it fails, the reads have short answers.
	_, _ = roundTrip(t, cwstatement.Command{ID: "w", Verb: cwstatement.Write, Text: "WRITE " + item + " " + strings.Repeat("x", longText)})
}
