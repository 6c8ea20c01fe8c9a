package settings

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSettings(t *testing.T) {
	raw, err := os.ReadFile("../../examples/settings-bursa-1.json")
	if err != nil {
		t.Fatal(err)
	}
	paths := func(text string) []string {
		_, problems := Parse([]byte(text))
		var at []string
		for _, p := range problems {
			at = append(at, p.Path)
		}
		return at
	}
	Convey("The example settings are valid", t, func() {
		So(paths(string(raw)), ShouldBeEmpty)
	})
	Convey("Each error is reported at its JSON path", t, func() {
		cases := []struct{ old, new, path string }{
			{`"name": "bursa-1"`, `"name": ""`, "$.name"},
			{`127.0.0.1:7000`, `localhost:7000`, "$.platform.address"},
			{`"maxStreams"`, `"maxStream"`, "$.limits.maxStream"},
			{`"maxStreams": 2000`, `"maxStreams": 0`, "$.limits.maxStreams"},
			{`"maxBodyBytes": 4194304`, `"maxBodyBytes": 67108864`, "$.limits.maxBodyBytes"},
			{`"maxStreams": 2000`, `"maxStreams": 2000, "memoryBytes": 1000000`, "$.limits.memoryBytes"},
			{`"maxStreams": 2000`, `"maxStreams": 2000, "maxSockets": 200`, "$.limits.maxSockets"},
			{`"replace-this-shared-secret"`, `"short"`, "$.peerKey"},
			{`"info"`, `"loud"`, "$.logLevel"},
			{`{`, `{{`, "$"},
		}
		for _, c := range cases {
			So(string(raw), ShouldContainSubstring, c.old)
			So(paths(strings.Replace(string(raw), c.old, c.new, 1)), ShouldContain, c.path)
		}
	})
	Convey("All errors are reported at once", t, func() {
		bad := strings.Replace(string(raw), `"info"`, `"loud"`, 1)
		So(paths(strings.Replace(bad, `"dataCentre": "bursa"`, `"dataCentre": ""`, 1)), ShouldHaveLength, 2)
	})
	Convey("A missing file is an error, not a panic", t, func() {
		_, problems := Load("no-such-file.json")
		So(problems, ShouldHaveLength, 1)
	})
}
