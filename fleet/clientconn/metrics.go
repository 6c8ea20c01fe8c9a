package clientconn

import "github.com/prometheus/client_golang/prometheus"

// Reasons for which clients give way.
const (
	reasonConnections = "connections"
	reasonMemory      = "memory"
)

type metrics struct {
	name         string
	disconnected *prometheus.CounterVec
	refused      prometheus.Counter
}

func newMetrics(name string) metrics {
	labels := prometheus.Labels{"listener": name}
	return metrics{
		name: name,
		disconnected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "plantainfield_clients_disconnected_total", Help: "Clients whose connection was closed or whose body was dropped in favour of others, by what had reached its limit: connections or memory.", ConstLabels: labels,
		}, []string{"limit"}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "plantainfield_clients_refused_total", Help: "Connections and bodies for which there was no room.", ConstLabels: labels,
		}),
	}
}

// collectors returns the metrics of a limiter.
func (m *metrics) collectors(l *Limiter) []prometheus.Collector {
	gauge := func(name, help string, value func(Usage) float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help, ConstLabels: prometheus.Labels{"listener": m.name}}, func() float64 { return value(l.Usage()) })
	}
	return []prometheus.Collector{
		m.disconnected, m.refused,
		gauge("plantainfield_client_connections", "Open connections of clients.", func(u Usage) float64 { return float64(u.Connections) }),
		gauge("plantainfield_client_connection_limit", "Largest number of connections of clients.", func(u Usage) float64 { return float64(u.ConnectionLimit) }),
		gauge("plantainfield_client_request_bytes", "Memory that is held for requests of clients.", func(u Usage) float64 { return float64(u.RequestBytes) }),
		gauge("plantainfield_client_request_byte_limit", "Largest memory that is held for requests of clients.", func(u Usage) float64 { return float64(u.RequestLimit) }),
	}
}
