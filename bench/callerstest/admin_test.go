package callerstest

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"plantainfield.example/core/errkind"
	"plantainfield.example/fleet/settings"
)

func TestAdminListener(t *testing.T) {
	Convey("Invalid requests to the admin listener get JSON errors", t, func() {
		r := newFixture(t, options{limits: func(l *settings.Limits) { l.ReadTimeoutMillis = 300 }})
		admin := func(method, path string) answer {
			req, err := http.NewRequest(method, "http://"+r.settings.Admin.Address+path, nil)
			So(err, ShouldBeNil)
			resp, err := http.DefaultClient.Do(req)
			So(err, ShouldBeNil)
			defer resp.Body.Close()
			raw, err := io.ReadAll(resp.Body)
			return answer{resp.StatusCode, resp.Header, string(raw), err}
		}
		So(admin(http.MethodGet, "/v1/nothing").errorDetail().Code, ShouldEqual, errkind.UnknownPath)
		So(admin(http.MethodDelete, "/v1/apply").errorDetail().Code, ShouldEqual, errkind.MethodNotAllowed)
		c, err := net.Dial("tcp", r.settings.Admin.Address)
		So(err, ShouldBeNil)
		defer c.Close()
		_, err = io.WriteString(c, "POST /v1/apply HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
		So(err, ShouldBeNil)
		a, _ := rawResponse(c)
		So(a.err, ShouldBeNil)
		So(a.status, ShouldEqual, http.StatusRequestTimeout)
		So(a.errorDetail().Code, ShouldEqual, errkind.SlowSender)
	})
	Convey("Metrics count requests, attempts and token latencies", t, func() {
		r := newFixture(t, options{})
		So(r.send(http.MethodPost, chatPath, chatBody(true, 5)).status, ShouldEqual, http.StatusOK)
		So(r.send(http.MethodGet, "/v1/services/records/x", nil).status, ShouldEqual, http.StatusOK)
		resp, err := http.Get("http://" + r.settings.Admin.Address + "/metrics")
		So(err, ShouldBeNil)
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		lines := strings.Split(string(raw), "\n")
		for _, line := range []string{
			`plantainfield_requests_total{kind="model",result="answered"} 1`,
			`plantainfield_requests_total{kind="service",result="answered"} 1`,
			`plantainfield_attempts_total{kind="model",outcome="completed"} 1`,
			`plantainfield_first_token_seconds_count 1`,
			`plantainfield_between_tokens_seconds_count 1`,
		} {
			So(lines, ShouldContain, line)
		}
	})
}
