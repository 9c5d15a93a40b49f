package command

import (
	"context"
	"fmt"
	"time"

	"github.com/fatih/color"

	"cicadabeam/core/balance"
	"cicadabeam/io/operator"
)

// CmdStatus prints an overview of the cluster as seen from one node.
var CmdStatus = &Cmd{
	name:        "status",
	description: "print the state of a node and its view of the cluster",
	long:        "Prints the state of the node, its answers, its access to the platform, the entry hosts with their revisions, and the backend servers.",
	action:      func() action { return &status{} },
}

type status struct {
	target
	JSON bool `long:"json" description:"print the status as JSON"`
}

// Run implements action.
func (s *status) Run(e *Env) error {
	c, err := s.client(e)
	if err != nil {
		return err
	}
	x, err := c.Status(context.Background())
	if err != nil {
		return err
	}
	if s.JSON {
		return printJSON(e, x)
	}
	printNode(e, x)
	printNodes(e, x)
	printServers(e, x)
	return nil
}

func printNode(e *Env, x operator.Status) {
	_, _ = fmt.Fprintf(e.out, "%s %s in %s, %s: %s, version %s, up %s\n", color.CyanString("node"), x.Node, x.DataCentre, x.Region, x.State, x.Version, timeSince(x.Started))
	_, _ = fmt.Fprintf(e.out, "configuration revision %d; platform %s\n", x.Revision, lastContact("reached", x.PlatformReached))
	_, _ = fmt.Fprintf(e.out, "requests %d running, %d waiting; calls %d; answers %d held, %d copies, %d taken over\n", x.Requests, x.Waiting, x.Calls, x.Answers.Held, x.Answers.Copies, x.Answers.Takeovers)
	_, _ = fmt.Fprintf(e.out, "unprotected answers %s; quarantined requests %s; retries %d, denied %s\n", redUnlessZero(x.Unprotected), redUnlessZero(x.Quarantined), x.RetriesSpent, redUnlessZero(int(x.RetriesDenied)))
}

func printNodes(e *Env, x operator.Status) {
	_, _ = fmt.Fprintln(e.out, color.CyanString("entry hosts"))
	for _, n := range x.Nodes {
		state := color.GreenString("alive")
		switch {
		case !n.Alive:
			state = color.RedString("dead")
		case n.Leaving:
			state = color.YellowString("leaving")
		}
		revision, heard := n.Revision, ", "+lastContact("heard", n.Heard)
		if n.Name == x.Node {
			revision, heard = x.Revision, ""
		}
		_, _ = fmt.Fprintf(e.out, "  %-24s %-14s %-10s revision %d%s\n", n.Name, n.DataCentre, state, revision, heard)
	}
}

func printServers(e *Env, x operator.Status) {
	_, _ = fmt.Fprintln(e.out, color.CyanString("backend servers"))
	for _, s := range x.Servers {
		state := color.GreenString("up")
		switch {
		case s.Down:
			state = color.RedString("down")
		case s.ReportAge < 0:
			state = color.YellowString("unknown")
		case s.ReportAge > staleReportSeconds:
			state = color.YellowString("silent")
		case s.Leaving:
			state = color.YellowString("leaving")
		}
		_, _ = fmt.Fprintf(e.out, "  %-24s %-10s own %d, %s\n", s.Server, state, s.Own, loadReport(s))
	}
}

// staleReportSeconds is the age in seconds above which a server's last load report does
// not show that the server is up.
const staleReportSeconds = 5

func loadReport(s balance.Status) string {
	if s.ReportAge < 0 {
		return "never reached"
	}
	return fmt.Sprintf("reported %d running %d waiting, %.1f s ago", s.Running, s.Waiting, s.ReportAge)
}

func timeSince(t time.Time) string { return time.Since(t).Round(time.Second).String() }

// lastContact returns how long ago something was last reached or heard of.
func lastContact(verb string, at time.Time) string {
	if at.IsZero() {
		return "never " + verb
	}
	return verb + " " + timeSince(at) + " ago"
}

func redUnlessZero(n int) string {
	if n == 0 {
		return "0"
	}
	return color.RedString("%d", n)
}
