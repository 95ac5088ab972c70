package org.chivetally.daemon;

import java.util.List;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.chivetally.errors.ErrorCode;
import org.chivetally.resource.http.ProblemDocument;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** HTTP route for the decisions about a job, {@code /v1/jobs/{name}/decisions}. */
final class DecisionRoutes extends AllDirectives {
    private final DecisionHistory history;

    DecisionRoutes(DecisionHistory history) {
        this.history = history;
    }

    Route route() {
        return path(
                PathMatchers.segment("v1")
                        .slash("jobs")
                        .slash(PathMatchers.segment())
                        .slash("decisions"),
                job -> get(() -> complete(decisions(job))));
    }

    private HttpResponse decisions(String job) {
        List<String> lines = history.linesOf(job);
        if (lines.isEmpty()) {
            String detail = "no decisions about job " + job + " are remembered here; ask the entry that coordinates it";
            return ProblemDocument.of(ErrorCode.NOT_FOUND, detail).response();
        }
        ObjectNode document = JsonMapper.shared().createObjectNode().put("job", job);
        ArrayNode list = document.putArray("decisions");
        lines.forEach(list::add);
        return HttpResponse.create()
                .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, document.toString()));
    }
}
