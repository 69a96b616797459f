package explain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(out, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	line("vm", "%s", r.VM)
	line("request", "%s %s%s%s", r.Request.Method, r.Request.Host, r.Request.Path, r.Request.details())
	if r.Route != nil {
		line("route", "%s: %s, priority %d, objective %.0f ms, at most %d attempts, services %s", r.Route.Name, r.Route.Kind,
			r.Route.Priority, r.Route.ObjectiveMs, r.Route.Attempts, strings.Join(r.Route.Services, ", "))
	}
	if r.Workspace != "" {
		line("workspace", "%s", r.Workspace)
	}
	if r.Rate != nil {
		line("rate", "%s", r.Rate)
	}
	if r.Stream != nil {
		line("stream", "origin %s, service %q, software %q", r.Stream.Source, r.Stream.Service, r.Stream.Software)
	}
	if r.Probe {
		line("crashes", "sent as a probe of a refused part")
	}
	if err := out.Flush(); err != nil {
		return err
	}
	for i := range r.Services {
		if err := r.writeService(w, &r.Services[i]); err != nil {
			return err
		}
	}
	line("decision", "%s", r.decision())
	line("ages", "%s", r.Ages)
	return out.Flush()
}

// details returns what the headers say of the work of the request.
func (r Request) details() string {
	var out strings.Builder
	if r.ID != "" {
		fmt.Fprintf(&out, ", id %s", r.ID)
	}
	if r.Model != "" {
		fmt.Fprintf(&out, ", model %s", r.Model)
	}
	if r.PromptTokens+r.OutputTokens > 0 {
		fmt.Fprintf(&out, ", %d prompt tokens, at most %d output tokens", r.PromptTokens, r.OutputTokens)
	}
	return out.String()
}

// String returns the verdict for people.
func (r *Rate) String() string {
	switch {
	case !r.Limited:
		return fmt.Sprintf("no limit, cost %d tokens", r.CostTokens)
	case r.Allowed:
		return fmt.Sprintf("allowed, cost %d of %d tokens left", r.CostTokens, r.LeftTokens)
	}
	return fmt.Sprintf("refused, cost %d of %d tokens left, enough in %.0f ms", r.CostTokens, r.LeftTokens, r.WaitMs)
}

// writeService writes the endpoints of a service.
func (r *Report) writeService(w io.Writer, s *Service) error {
	if _, err := fmt.Fprintf(w, "\nservice %s: %d endpoints, %d eligible, %d may take the request now\n",
		s.Name, s.Registered, s.Eligible, len(s.Candidates)); err != nil {
		return err
	}
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	if len(s.Candidates) > 0 {
		_, _ = fmt.Fprintln(out, "\tENDPOINT\tDATA CENTRE\tVERSION\tRUNNING\tCACHED\tEXPECTED MS\tSCORE MS\tLAST ANSWER\tTERMS")
	}
	for _, c := range s.Candidates {
		mark := ""
		if r.Choice != nil && r.Choice.Endpoint == c.Endpoint {
			mark = "*"
		}
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%s\t%s\n", mark, c.Endpoint, c.DataCentre, c.Version, c.Running,
			c.CachedTokens, c.ExpectedMs, c.ScoreMs, formatAge(c.LastAnswerAgeMs), formatTerms(c.Terms))
	}
	for _, l := range s.LeftOut {
		reason := l.Reason
		if l.EndsInMs != nil {
			reason = fmt.Sprintf("%s, for %.0f ms", reason, *l.EndsInMs)
		}
		_, _ = fmt.Fprintf(out, "-\t%s\tleft out: %s\n", l.Endpoint, reason)
	}
	_, _ = fmt.Fprintln(out)
	return out.Flush()
}

// formatTerms returns the terms of a score on one line.
func formatTerms(terms []Term) string {
	parts := make([]string, 0, len(terms))
	for _, t := range terms {
		parts = append(parts, fmt.Sprintf("%s %+.1f", t.Name, t.Ms))
	}
	return strings.Join(parts, ", ")
}

// decision returns the choice or the refusal for people.
func (r *Report) decision() string {
	switch {
	case r.Refusal != nil && r.Refusal.RetryAfterMs > 0:
		return fmt.Sprintf("refused with %d %s: %s, retry after %.0f ms",
			r.Refusal.Status, r.Refusal.Code, r.Refusal.Message, r.Refusal.RetryAfterMs)
	case r.Refusal != nil:
		return fmt.Sprintf("refused with %d %s: %s", r.Refusal.Status, r.Refusal.Code, r.Refusal.Message)
	case r.Choice == nil:
		return "none"
	}
	out := fmt.Sprintf("sent to %s of %s at %s, answer expected in %.0f ms",
		r.Choice.Endpoint, r.Choice.Service, r.Choice.Address, r.Choice.ExpectedMs)
	if r.Choice.FetchFrom != "" {
		out += ", fetches parts from " + r.Choice.FetchFrom
	}
	if r.Choice.SaveTo != "" {
		out += ", saves parts to " + r.Choice.SaveTo
	}
	return out
}

// String returns the ages for people.
func (a Ages) String() string {
	return fmt.Sprintf("configuration %d in force for %s, verified %s ago, endpoints read %s ago, %d live peers, oldest digest %s ago",
		a.ConfigVersion, formatAge(a.ConfigMs), formatAge(a.ConfigVerifiedMs), formatAge(a.EndpointsMs), a.Peers, formatAge(a.OldestDigestMs))
}

// formatAge returns an age in milliseconds, or "never".
func formatAge(ms *float64) string {
	if ms == nil {
		return "never"
	}
	return fmt.Sprintf("%.0f ms", *ms)
}
