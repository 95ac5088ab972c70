package org.chivetally.standins;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import tools.jackson.core.JacksonException;

/**
 * The route {@code /faults}: GET returns the current faults, PUT replaces all of them; a fault that a PUT omits is off.
 */
final class FaultsRoute {
    private FaultsRoute() {}

    static <T> Route of(Class<T> type, Supplier<T> current, Consumer<T> replace) {
        Route get = Directives.get(() -> Directives.complete(StandInHttp.json(StatusCodes.OK, current.get())));
        Route put = Directives.put(
                () -> Directives.entity(Unmarshaller.entityToByteArray(), body -> set(type, body, current, replace)));
        return Directives.path("faults", () -> Directives.concat(get, put));
    }

    private static <T> Route set(Class<T> type, byte[] body, Supplier<T> current, Consumer<T> replace) {
        try {
            replace.accept(StandInHttp.JSON.readValue(body, type));
        } catch (JacksonException e) {
            return Directives.complete(StandInHttp.badRequest(e));
        }
        return Directives.complete(StandInHttp.json(StatusCodes.OK, current.get()));
    }
}
