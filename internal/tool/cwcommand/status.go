package cwcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/proxy/cwpgproxy"
)

// statusTimeout is the timeout of the HTTP request to one proxy.
const statusTimeout = 3 * time.Second

// maxStatusBytes bounds the size of a proxy's answer.
const maxStatusBytes = 1 << 24

func statusCommand() *cobra.Command {
	var proxies []string
	var output string
	var numbers bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show whether all is well, and whether an operator has to act",
		Long: `Queries each proxy and prints whether all is well, which problems there are, what
the system is doing about them, and whether an operator has to act. Exits with
code 4 if so.`,
		Example: "  cicadawalk status --proxies 127.0.1.1:6545,127.0.2.1:6545",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSettings(cmd, func(s *flagChecker) {
				s.require("proxies", len(proxies) > 0, "the HTTP addresses of the proxies, separated by commas")
				s.require("output", output == "text" || output == "json", "text or json")
			}); err != nil {
				return err
			}
			statuses := fetchStatuses(proxies)
			if output == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(statuses)
			}
			if printStatus(cmd.OutOrStdout(), statuses, numbers) {
				return &ExitError{Code: ExitActionRequired, Err: &ActionRequiredError{}}
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&proxies, "proxies", nil, "HTTP addresses of the proxies, IP:port each")
	cmd.Flags().StringVar(&output, "output", "text", "text or json")
	cmd.Flags().BoolVar(&numbers, "numbers", false, "also show roles, log positions and connections")
	return cmd
}

// ActionRequiredError reports that an operator has to act.
type ActionRequiredError struct{}

func (*ActionRequiredError) Error() string { return "an operator has to act; see above" }

// proxyStatus is the answer of one proxy, or the error of the request.
type proxyStatus struct {
	Address string                `json:"address"`
	Error   string                `json:"error,omitempty"`
	Status  *cwpgproxy.StatusBody `json:"status,omitempty"`
}

// fetchStatuses queries the proxies one after another.
func fetchStatuses(proxies []string) []proxyStatus {
	out := make([]proxyStatus, 0, len(proxies))
	for _, a := range proxies {
		p := proxyStatus{Address: a}
		s, err := fetchStatus(a)
		if err != nil {
			p.Error = err.Error()
		} else {
			p.Status = s
		}
		out = append(out, p)
	}
	return out
}

// fetchStatus requests the status of the proxy at an HTTP address.
func fetchStatus(address string) (*cwpgproxy.StatusBody, error) {
	client := http.Client{Timeout: statusTimeout}
	resp, err := client.Get("http://" + address + cwpgproxy.PathStatus)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var s cwpgproxy.StatusBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return nil, err
	}
	return &s, nil
}

// printStatus prints a summary and reports whether an operator has to act.
func printStatus(w io.Writer, statuses []proxyStatus, numbers bool) (actionRequired bool) {
	healthy := true
	for _, p := range statuses {
		switch {
		case p.Status == nil:
			healthy = false
			fmt.Fprintf(w, "proxy %s does not answer. Callers use the other proxies. If it stays unavailable, replace the instance.\n", p.Address)
			continue
		case !p.Status.Ready:
			healthy = false
			fmt.Fprintf(w, "proxy %s (%s) is starting: it is waiting for the catalogue.\n", p.Status.Instance, p.Address)
		}
		for _, g := range p.Status.Groups {
			if g.State != "well" || g.Problem != "" || g.SystemAction != "" {
				healthy = healthy && g.State == "well" && g.Problem == ""
				fmt.Fprintf(w, "%s/%s, seen by %s: %s\n", g.Service, g.Group, p.Status.Instance, describeGroup(g))
			}
			actionRequired = actionRequired || g.OperatorAction != "" && g.State != "well"
		}
	}
	if healthy {
		fmt.Fprintln(w, "All is well. Nobody has to act.")
	}
	if numbers {
		printDetails(w, statuses)
	}
	return actionRequired
}

// describeGroup returns the state of a group, its problem, what the system does and
// what an operator has to do, as sentences.
func describeGroup(g cwpgproxy.GroupBody) string {
	parts := []string{g.State}
	if g.Problem != "" {
		parts = append(parts, g.Problem)
	}
	if g.SystemAction != "" {
		parts = append(parts, "the system: "+g.SystemAction)
	}
	if g.OperatorAction != "" {
		parts = append(parts, "you: "+g.OperatorAction)
	}
	return strings.Join(parts, ". ") + "."
}

// printDetails prints the counters of each proxy and the state of its targets.
func printDetails(w io.Writer, statuses []proxyStatus) {
	for _, p := range statuses {
		if p.Status == nil {
			continue
		}
		fmt.Fprintf(w, "%s revision=%d callers=%d\n", p.Status.Instance, p.Status.Revision, p.Status.Callers)
		for _, t := range p.Status.Targets {
			fmt.Fprintf(w, "  %s group=%s role=%s reachable=%t stopping=%t log=%s applied=%s share=%d open=%d busy=%d queued=%d\n",
				t.Target, t.Group, t.Role, t.Reachable, t.Stopping, t.Mark, t.Applied, t.Share, t.Open, t.Busy, t.Queued)
		}
	}
}
