package reference

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const root = "../.."

func TestCommittedPagesMatchTheCode(t *testing.T) {
	Convey("Each page in docs/ equals the generated page", t, func() {
		pages, err := Pages(root)
		So(err, ShouldBeNil)
		for _, p := range pages {
			committed, err := os.ReadFile(filepath.Join(root, "docs", p.Name))
			So(err, ShouldBeNil)
			So(string(committed), ShouldEqual, p.Text)
		}
	})
}

func TestEveryFieldHasADocComment(t *testing.T) {
	Convey("No row of a field table has an empty meaning", t, func() {
		pages, err := Pages(root)
		So(err, ShouldBeNil)
		for _, p := range pages {
			for _, line := range strings.Split(p.Text, "\n") {
				So(line, ShouldNotEndWith, "|  |")
			}
		}
	})
}

func TestPagesNameTestsThatExist(t *testing.T) {
	Convey("Each test that a page names exists in the code", t, func() {
		declared := map[string]bool{}
		So(eachFile("_test.go", func(text string) {
			for _, m := range regexp.MustCompile(`func (Test\w+)\(`).FindAllStringSubmatch(text, -1) {
				declared[m[1]] = true
			}
		}), ShouldBeNil)
		var missing []string
		So(eachFile(".md", func(text string) {
			for _, name := range regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(text, -1) {
				if !declared[name] {
					missing = append(missing, name)
				}
			}
		}), ShouldBeNil)
		So(missing, ShouldBeEmpty)
	})
}

// eachFile calls use with the text of each file of the repository whose name ends
// in suffix.
func eachFile(suffix string, use func(text string)) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		raw, err := os.ReadFile(path)
		use(string(raw))
		return err
	})
}
