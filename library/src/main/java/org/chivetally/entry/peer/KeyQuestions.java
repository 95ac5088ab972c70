package org.chivetally.entry.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.chivetally.claim.SubmissionKey;
import org.chivetally.wire.v1.Attach;
import org.chivetally.wire.v1.Frame;

/** Questions to all other entries whether they have a job of a key. Owned by one actor. */
final class KeyQuestions {
    private static final long PATIENCE_NANOS = Duration.ofMillis(500).toNanos();
    private static final String SEPARATOR = "\n";

    private final Map<Long, Question> byRequest = new HashMap<>();

    /** Returns the frame that asks about a key under a request id. */
    static Frame frame(long requestId, SubmissionKey key) {
        Attach attach =
                Attach.newBuilder().setKey(key.team() + SEPARATOR + key.key()).build();
        return Frame.newBuilder().setRequestId(requestId).setAttach(attach).build();
    }

    /** Returns the key that a question names; the whole text is a key of no team when it has no separator. */
    static SubmissionKey key(Attach attach) {
        String text = attach.getKey();
        int end = text.indexOf(SEPARATOR);
        return end < 0
                ? new SubmissionKey("", text)
                : new SubmissionKey(text.substring(0, end), text.substring(end + SEPARATOR.length()));
    }

    /** Opens a question that was sent to several entries under these request ids. */
    void open(List<Long> requests, CompletableFuture<Boolean> nobodyHas, long now) {
        Question question = new Question(new HashSet<>(requests), nobodyHas, now + PATIENCE_NANOS);
        requests.forEach(request -> byRequest.put(request, question));
    }

    /**
     * Notes an answer; false when it belongs to no question about a key.
     *
     * <p>A denial that is taken in late, as by an entry that was paused in between, may be false by now.
     */
    boolean answered(long request, boolean known, long now) {
        Question question = byRequest.remove(request);
        if (question == null) {
            return false;
        }
        question.open.remove(request);
        boolean late = now - question.until >= 0;
        if (known || late || question.open.isEmpty()) {
            end(question, !known && !late);
        }
        return true;
    }

    /** Ends questions that wait too long: nothing is certain then. */
    void expire(long now) {
        for (Question question : Set.copyOf(byRequest.values())) {
            if (now - question.until >= 0) {
                end(question, false);
            }
        }
    }

    private void end(Question question, boolean nobodyHas) {
        question.open.forEach(byRequest::remove);
        question.nobodyHas.complete(nobodyHas);
    }

    private static final class Question {
        private final Set<Long> open;
        private final CompletableFuture<Boolean> nobodyHas;
        private final long until;

        private Question(Set<Long> open, CompletableFuture<Boolean> nobodyHas, long until) {
            this.open = open;
            this.nobodyHas = nobodyHas;
            this.until = until;
        }
    }
}
