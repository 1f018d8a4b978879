package scheduling

import (
	"strings"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/fulmarcourse/api/ownerpb"
)

// Guards against an announcement of another version, or a damaged one, that ends the owner's process or adds a job that no record
// belongs to.
func TestOddAnnouncementsAreRejected(t *testing.T) {
	server := &ownerServer{}
	for name, job := range map[string]string{
		"empty": "", "no text": "\xff", "null": "null", "no object": "7", "fields missing": "{}",
		"deeply nested": strings.Repeat("[", 300000), "large number": `{"id":"j","steps":[{"tasks":1e400}]}`,
		"20 digits": `{"id":"j","steps":[{"tasks":99999999999999999999}]}`, "other types": `{"id":7,"steps":"x"}`,
		"negative": `{"id":"j","steps":[{"tasks":-1}]}`, "no id": `{"steps":[{"tasks":1}]}`,
		"digits of 1 MiB": `{"id":"j","steps":[{"tasks":` + strings.Repeat("9", 1<<20) + `}]}`,
	} {
		_, err := server.AnnounceJob(t.Context(), &ownerpb.AnnounceJobRequest{Term: 1, Job: []byte(job)})
		if status.Code(err) != codes.InvalidArgument || len(err.Error()) > 1000 {
			t.Errorf("%s: error %.200v, want %v", name, err, codes.InvalidArgument)
		}
	}
}
