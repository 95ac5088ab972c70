package org.chivetally.entry.submission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.chivetally.job.JobId;
import org.chivetally.job.JobOutcome;

class RawJsonTest {
    @Property(tries = 300)
    void answersPassBetweenEntriesWithoutAChange(@ForAll("answers") List<String> answers) {
        JobOutcome outcome = new JobOutcome.Complete(answers);
        String document = OutcomeDocument.write(new JobId("j\"1"), outcome);
        assertThat(OutcomeDocument.read(document), is(outcome));
    }

    @Provide
    Arbitrary<List<String>> answers() {
        Arbitrary<String> value = Arbitraries.of(
                "1",
                "-0.10",
                "1e5",
                "true",
                "null",
                "\"\"",
                "\"a,]\\\"\\u00e5 \u00f8\"",
                "[]",
                "{\"a\": [1,  2]}",
                "{ }");
        return value.list().ofMaxSize(6);
    }
}
