package cwcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cicadawalk.example/cicadawalk/internal/proxy/cwnode"
)

// statusTimeout bounds the question to one proxy.
const statusTimeout = 3 * time.Second

func statusCommand() *cobra.Command {
	var proxies []string
	var output string
	var numbers bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Say whether all is well, and whether anyone has to act",
		Long: `Asks each proxy and says in plain words whether all is well, what is not, what
the system is doing about it, and whether anyone has to act. Exits with code 4
if somebody has to.`,
		Example: "  cicadawalk status --proxies 127.0.1.1:6545,127.0.2.1:6545",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkSettings(cmd, func(s *settings) {
				s.require("proxies", len(proxies) > 0, "the HTTP addresses of the proxies, with commas between")
				s.require("output", output == "text" || output == "json", "text or json")
			}); err != nil {
				return err
			}
			found := askAll(proxies)
			if output == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(found)
			}
			if printStatus(cmd.OutOrStdout(), found, numbers) {
				return &ExitError{Code: ExitUnwell, Cause: &UnwellError{}}
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&proxies, "proxies", nil, "HTTP addresses of the proxies, IP:port each")
	cmd.Flags().StringVar(&output, "output", "text", "text or json")
	cmd.Flags().BoolVar(&numbers, "numbers", false, "show roles, positions and connections, too")
	return cmd
}

// UnwellError says that somebody has to act.
type UnwellError struct{}

func (*UnwellError) Error() string { return "somebody has to act; see above" }

// proxyStatus is what one proxy said.
type proxyStatus struct {
	Address string             `json:"address"`
	Error   string             `json:"error,omitempty"`
	Status  *cwnode.StatusBody `json:"status,omitempty"`
}

func askAll(proxies []string) []proxyStatus {
	out := make([]proxyStatus, 0, len(proxies))
	for _, a := range proxies {
		p := proxyStatus{Address: a}
		s, err := ask(a)
		if err != nil {
			p.Error = err.Error()
		} else {
			p.Status = s
		}
		out = append(out, p)
	}
	return out
}

func ask(address string) (*cwnode.StatusBody, error) {
	client := http.Client{Timeout: statusTimeout}
	resp, err := client.Get("http://" + address + cwnode.PathStatus)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var s cwnode.StatusBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<24)).Decode(&s); err != nil {
		return nil, err
	}
	return &s, nil
}

// printStatus prints one screen and reports whether somebody has to act.
func printStatus(w io.Writer, found []proxyStatus, numbers bool) (act bool) {
	well := true
	for _, p := range found {
		switch {
		case p.Status == nil:
			well = false
			fmt.Fprintf(w, "proxy %s does not answer. Callers use the others. If it stays away, replace the instance.\n", p.Address)
			continue
		case !p.Status.Ready:
			well = false
			fmt.Fprintf(w, "proxy %s (%s) is starting: it waits for the catalogue.\n", p.Status.Instance, p.Address)
		}
		for _, g := range p.Status.Groups {
			if g.State != "well" || g.What != "" || g.Doing != "" {
				well = well && g.State == "well" && g.What == ""
				fmt.Fprintf(w, "%s/%s, seen by %s: %s\n", g.Service, g.Group, p.Status.Instance, sentence(g))
			}
			act = act || g.Act != "" && g.State != "well"
		}
	}
	if well {
		fmt.Fprintln(w, "All is well. Nobody has to act.")
	}
	if numbers {
		printNumbers(w, found)
	}
	return act
}

func sentence(g cwnode.GroupBody) string {
	parts := []string{g.State}
	if g.What != "" {
		parts = append(parts, g.What)
	}
	if g.Doing != "" {
		parts = append(parts, "the system: "+g.Doing)
	}
	if g.Act != "" {
		parts = append(parts, "you: "+g.Act)
	}
	return strings.Join(parts, ". ") + "."
}

func printNumbers(w io.Writer, found []proxyStatus) {
	for _, p := range found {
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
