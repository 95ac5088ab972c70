package org.chivetally.standins;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;

/**
 * HTTP control interface of a {@link TcpRelay}: {@code GET} and {@code PUT /faults} read and replace
 * {@link RelayFaults}, and {@code GET /statistics} returns {@link RelayStatistics}.
 */
public final class RelayStandIn {
    private RelayStandIn() {}

    /**
     * Starts the control interface of a relay. The caller remains responsible for closing the relay.
     *
     * @param port port to listen on; 0 selects a free port, which the binding reports
     */
    public static CompletionStage<ServerBinding> start(ActorSystem<?> system, String host, int port, TcpRelay relay) {
        Route statistics = Directives.path(
                "statistics",
                () -> Directives.get(() -> Directives.complete(StandInHttp.json(StatusCodes.OK, relay.statistics()))));
        Route routes =
                Directives.concat(FaultsRoute.of(RelayFaults.class, relay::faults, relay::setFaults), statistics);
        return StandInHttp.bind(system, host, port, routes.function(system));
    }
}
