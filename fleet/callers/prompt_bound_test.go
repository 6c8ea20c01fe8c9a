package callers

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPromptBoundCountsTheWholeBody(t *testing.T) {
	Convey("The bound of the prompt includes its tools", t, func() {
		body := []byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"tools":[{"type":"function","function":{"name":"book","description":"long"}}]}`)
		var req chatRequest
		So(json.Unmarshal(body, &req), ShouldBeNil)
		So(maxPromptTokens(body, req.Messages), ShouldBeGreaterThanOrEqualTo, len(body))
	})
	Convey("Text content is allowed in all its forms", t, func() {
		for _, m := range []string{`{}`, `{"content":null}`, `{"content":"x"}`, `{"content":[{"type":"text","text":"x"}]}`} {
			So(hasTextContentOnly(json.RawMessage(m)), ShouldBeTrue)
		}
		for _, m := range []string{`{"content":[{"type":"input_audio"}]}`, `{"content":{}}`, `{"content":5}`, `[]`} {
			So(hasTextContentOnly(json.RawMessage(m)), ShouldBeFalse)
		}
	})
}
