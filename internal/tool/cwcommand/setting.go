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

// envPrefix begins the names of all environment variables.
const envPrefix = "CICADAWALK_"

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// applyEnv gives the flags that the command line does not set the values of
// their environment variables.
func applyEnv(fs *pflag.FlagSet, getenv func(string) (string, bool)) []SettingFault {
	var faults []SettingFault
	fs.VisitAll(func(f *pflag.Flag) {
		v, ok := getenv(EnvName(f.Name))
		if f.Changed || !ok {
			return
		}
		if err := fs.Set(f.Name, v); err != nil {
			faults = append(faults, SettingFault{Flag: f.Name, Value: v, Allowed: "a " + f.Value.Type()})
		}
	})
	return faults
}

// SettingFault is one setting that is wrong.
type SettingFault struct {
	Flag, Value, Allowed string
}

// String names the flag, its variable, the value and what is allowed.
func (f SettingFault) String() string {
	return fmt.Sprintf("--%s (%s): %q is not allowed; %s", f.Flag, EnvName(f.Flag), f.Value, f.Allowed)
}

// SettingsError reports every setting that is wrong.
type SettingsError struct{ Faults []SettingFault }

func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// settings collects the faults of a command's settings.
type settings struct {
	fs     *pflag.FlagSet
	faults []SettingFault
}

// checkSettings reads the environment and lets check look at every setting, so
// that all faults are reported at once.
func checkSettings(cmd *cobra.Command, check func(s *settings)) error {
	s := &settings{fs: cmd.Flags()}
	s.faults = applyEnv(cmd.Flags(), os.LookupEnv)
	check(s)
	if len(s.faults) > 0 {
		return &ExitError{Code: ExitUsage, Cause: &SettingsError{Faults: s.faults}}
	}
	return nil
}

func (s *settings) value(flag string) string { return s.fs.Lookup(flag).Value.String() }

func (s *settings) require(flag string, ok bool, allowed string) {
	if !ok {
		s.faults = append(s.faults, SettingFault{Flag: flag, Value: s.value(flag), Allowed: allowed})
	}
}

func (s *settings) address(flag string) {
	_, err := netip.ParseAddrPort(s.value(flag))
	s.require(flag, err == nil, "an IP address and port, as in 127.0.0.1:6543")
}

func (s *settings) url(flag string) {
	u, err := url.Parse(s.value(flag))
	s.require(flag, err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "a URL, as in http://127.0.0.1:7000")
}

func (s *settings) notEmpty(flag, allowed string) {
	s.require(flag, s.value(flag) != "", allowed)
}
