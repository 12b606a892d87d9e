package cwcommand

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// settingsTable returns the table of flags in docs/SETTINGS.md.
func settingsTable(cmd *cobra.Command) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| flag | environment variable | default | meaning |\n| --- | --- | --- | --- |\n")
	cmd.Flags().VisitAll(func(f *pflag.Flag) {
		if f.Name != "help" {
			fmt.Fprintf(&b, "| `--%s` | `%s` | `%s` | %s |\n", f.Name, EnvName(f.Name), f.DefValue, f.Usage)
		}
	})
	return b.String()
}

// TestSettingsPage fails if docs/SETTINGS.md differs from the flags of the proxy
// command. Run it with CICADAWALK_WRITE_DOCS=1 to regenerate the table.
func TestSettingsPage(t *testing.T) {
	const page, begin, end = "../../../docs/SETTINGS.md", "<!-- table -->\n", "<!-- end -->"
	text, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	head, rest, ok := strings.Cut(string(text), begin)
	qt.Assert(t, ok, qt.IsTrue)
	got, tail, ok := strings.Cut(rest, end)
	qt.Assert(t, ok, qt.IsTrue)
	want := settingsTable(proxyCommand())
	if os.Getenv("CICADAWALK_WRITE_DOCS") != "" {
		qt.Assert(t, os.WriteFile(page, []byte(head+begin+want+end+tail), 0o644), qt.IsNil)
		return
	}
	qt.Assert(t, got, qt.Equals, want)
}

func TestEnvironment(t *testing.T) {
	cmd := proxyCommand()
	env := map[string]string{"CICADAWALK_INSTANCE": "entry-9", "CICADAWALK_LIST_LAG": "soon", "CICADAWALK_LISTEN": "127.0.0.1:1"}
	qt.Assert(t, cmd.Flags().Set("listen", "127.0.0.1:2"), qt.IsNil)
	faults := applyEnv(cmd.Flags(), func(k string) (string, bool) {
		v, ok := env[k]
		return v, ok
	})
	qt.Assert(t, cmd.Flags().Lookup("instance").Value.String(), qt.Equals, "entry-9")
	qt.Assert(t, cmd.Flags().Lookup("listen").Value.String(), qt.Equals, "127.0.0.1:2")
	qt.Assert(t, faults, qt.HasLen, 1)
	qt.Assert(t, faults[0].String(), qt.Equals, `--list-lag (CICADAWALK_LIST_LAG): "soon" is not allowed; a duration`)
}

func TestAllInvalidSettingsAreReported(t *testing.T) {
	root := RootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs([]string{"proxy", "--listen", "x", "--platform", "ftp://x", "--log-level", "loud"})
	err := root.Execute()
	var ee *ExitError
	qt.Assert(t, err, qt.ErrorAs, &ee)
	qt.Assert(t, ee.Code, qt.Equals, ExitUsage)
	for _, want := range []string{"--instance", "--data-centre", "--listen", "--platform", "--log-level"} {
		qt.Assert(t, err.Error(), qt.Contains, want)
	}
}
