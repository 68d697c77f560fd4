package entry

import (
	"html/template"
	"net/http"

	"github.com/chicorystand/chicorystand/control/plan"
)

// barWidth is the width of a chart in pixels.
const barWidth = 120

var statusTemplate = template.Must(template.New("status").Funcs(template.FuncMap{
	"width": func(part, whole int64) int64 {
		if whole <= 0 {
			return 0
		}
		return max(0, min(barWidth, part*barWidth/whole))
	},
	"permille": func(f float64) int64 { return int64(f * 1000) },
	"tail":     func(ms float64) int64 { return int64(ms * 10) },
}).Parse(`{{define "bar"}}<svg width="120" height="12" role="img"><rect width="120" height="12" fill="#ddd"/><rect width="{{.}}" height="12" fill="#467"/></svg>{{end -}}
<!doctype html><html lang="en"><head><meta charset="utf-8"><title>chicorystand {{.Entry}}</title>
<style>body{font:14px sans-serif;margin:1.5em}table{border-collapse:collapse;margin-bottom:1.5em}td,th{border:1px solid #bbb;padding:2px 8px;text-align:left}</style></head><body>
<h1>chicorystand, entry {{.Entry}}</h1>
{{range .Status.Missing}}<p><strong>No answer from {{.}}.</strong></p>{{end}}
{{range .Config.EvacuatedZones}}<p><strong>Zone {{.}} is under evacuation: nothing new starts there.</strong></p>{{end}}
<h2>Entries</h2><table><tr><th>entry</th><th>zone</th><th>ready</th><th>configuration</th><th>lags</th><th>store</th></tr>
{{range .Status.Entries}}<tr><td>{{.Entry}}</td><td>{{.Zone}}</td><td>{{.Ready}}</td><td>{{.ConfigGen}}</td><td>{{if lt .ConfigGen $.Status.Generation}}yes{{else}}no{{end}}</td><td>{{if .StoreReachable}}answers{{else}}does not answer{{end}}</td></tr>
{{end}}</table>
<h2>Services, last minute</h2><table><tr><th>entry</th><th>service</th><th>requests</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th><th>p99 (full width: 1 s)</th></tr>
{{range $e := .Status.Entries}}{{range .Services}}<tr><td>{{$e.Entry}}</td><td>{{.Service}}</td><td>{{.Requests}}</td><td>{{printf "%.1f" .P50MS}}</td><td>{{printf "%.1f" .P99MS}}</td><td>{{printf "%.1f" .P999MS}}</td><td>{{template "bar" width (tail .P99MS) 10000}}</td></tr>
{{end}}{{end}}</table>
<h2>VMs</h2><table><tr><th>shard</th><th>owner</th><th>VM</th><th>rack</th><th>service</th><th>tasks</th><th>processors reserved</th><th>memory reserved</th><th>slots in use</th><th>p99 / target</th><th>configuration</th><th>state</th></tr>
{{range $s := .Status.Shards}}{{range .VMs}}<tr><td>{{$s.Shard}}</td><td>{{$s.Owner}}</td><td>{{.VM}}</td><td>{{.Rack}}</td><td>{{.Service}}</td><td>{{.Tasks}}</td>
<td>{{template "bar" width .Reserved.CPU .Capacity.CPU}} {{.Reserved.CPU}} of {{.Capacity.CPU}}</td><td>{{template "bar" width .Reserved.Memory .Capacity.Memory}} {{.Reserved.Memory}} of {{.Capacity.Memory}} MiB</td>
<td>{{template "bar" width (permille .Load) 1000}}</td><td>{{printf "%.2f" .Tail}}</td><td>{{.ConfigGen}}</td>
<td>{{if not .Connected}}not connected {{end}}{{if .Draining}}draining {{end}}{{if .Evacuated}}zone evacuated {{end}}{{if .Quarantined}}quarantined{{end}}</td></tr>
{{end}}{{end}}</table>
<h2>Queues</h2><table><tr><th>shard</th><th>customer</th><th>tasks by state</th><th>processors in use</th><th>memory in use</th></tr>
{{range $s := .Status.Shards}}{{range .Queues}}<tr><td>{{$s.Shard}}</td><td>{{.Customer}}</td><td>{{range $state, $n := .States}}{{$state}} {{$n}} {{end}}</td><td>{{.Used.CPU}}</td><td>{{.Used.Memory}} MiB</td></tr>
{{end}}{{end}}</table>
<h2>Configuration in force, generation {{.Config.Generation}}</h2><table><tr><th>plan</th><th>priority</th><th>requests/s</th><th>concurrency</th><th>processors</th><th>memory MiB</th><th>accelerators</th><th>weight</th><th>customers</th></tr>
{{range .Config.Limits}}<tr><td>{{.Plan}}</td><td>{{.Priority}}</td><td>{{.RequestsPerSecond}}</td><td>{{.Concurrency}}</td><td>{{.CPUMilli}}</td><td>{{.MemoryMiB}}</td><td>{{.Accelerators}}</td><td>{{.ShareWeight}}</td><td>{{index $.Customers .Plan}}</td></tr>
{{end}}</table></body></html>
`))

type statusView struct {
	Entry  string
	Status SystemStatus
	Config plan.Document
	// Customers counts the customers of each plan.
	Customers map[string]int
}

// statusPage renders the state of the system as read-only HTML without external resources.
func (e *Entry) statusPage(w http.ResponseWriter, r *http.Request) {
	v := statusView{Entry: e.cfg.ID, Status: e.systemStatus(r.Context()), Config: e.config(), Customers: make(map[string]int)}
	for _, p := range v.Config.Plans {
		v.Customers[p.Plan]++
	}
	h := w.Header()
	h.Set("Content-Type", "text/html; charset=utf-8")
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	_ = statusTemplate.Execute(w, v)
}
