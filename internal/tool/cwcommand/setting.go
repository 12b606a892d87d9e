package cwcommand

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "CICADAWALK_"

// EnvName returns the name of the environment variable that sets a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// applyEnv sets each flag that the command line does not set from its environment
// variable, and returns the invalid values.
func applyEnv(fs *pflag.FlagSet, getenv func(string) (string, bool)) []InvalidSetting {
	var invalid []InvalidSetting
	fs.VisitAll(func(f *pflag.Flag) {
		v, ok := getenv(EnvName(f.Name))
		if f.Changed || !ok {
			return
		}
		if err := fs.Set(f.Name, v); err != nil {
			invalid = append(invalid, InvalidSetting{Flag: f.Name, Value: v, Allowed: "a " + f.Value.Type()})
		}
	})
	return invalid
}

// InvalidSetting is one invalid setting: its flag, its value, and which values are
// allowed.
type InvalidSetting struct {
	Flag, Value, Allowed string
}

// String returns one line with the flag, its environment variable, the value and
// the allowed values.
func (f InvalidSetting) String() string {
	return fmt.Sprintf("--%s (%s): %q is not allowed; %s", f.Flag, EnvName(f.Flag), f.Value, f.Allowed)
}

// SettingsError reports all invalid settings of a command.
type SettingsError struct{ Invalid []InvalidSetting }

func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Invalid))
	for _, f := range e.Invalid {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// flagChecker validates the flags of a command and collects the invalid ones.
type flagChecker struct {
	fs      *pflag.FlagSet
	invalid []InvalidSetting
}

// checkSettings applies the environment variables and calls check to validate the
// flags. It returns all invalid settings in one error with ExitUsage.
func checkSettings(cmd *cobra.Command, check func(s *flagChecker)) error {
	s := &flagChecker{fs: cmd.Flags()}
	s.invalid = applyEnv(cmd.Flags(), os.LookupEnv)
	check(s)
	if len(s.invalid) > 0 {
		return &ExitError{Code: ExitUsage, Err: &SettingsError{Invalid: s.invalid}}
	}
	return nil
}

func (s *flagChecker) value(flag string) string { return s.fs.Lookup(flag).Value.String() }

// require records the flag as invalid unless ok is true; allowed describes the valid
// values.
func (s *flagChecker) require(flag string, ok bool, allowed string) {
	if !ok {
		s.invalid = append(s.invalid, InvalidSetting{Flag: flag, Value: s.value(flag), Allowed: allowed})
	}
}

func (s *flagChecker) requireAddress(flag string) {
	_, err := netip.ParseAddrPort(s.value(flag))
	s.require(flag, err == nil, "an IP address and port, as in 127.0.0.1:6543")
}

func (s *flagChecker) requireURL(flag string) {
	u, err := url.Parse(s.value(flag))
	s.require(flag, err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "a URL, as in http://127.0.0.1:7000")
}

func (s *flagChecker) requireNonEmpty(flag, allowed string) {
	s.require(flag, s.value(flag) != "", allowed)
}
