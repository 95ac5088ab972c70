package org.chivetally.entry.link;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** Tells several observers; one that fails is logged and does not keep the others or the links from their work. */
public final class Observers implements LinkObserver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final List<LinkObserver> observers = new CopyOnWriteArrayList<>();

    /** Adds an observer; it is called on the links' threads and must not block. */
    public void add(LinkObserver observer) {
        observers.add(observer);
    }

    @Override
    public void up(Hello hello) {
        notifyObservers(observer -> observer.up(hello));
    }

    @Override
    public void down(Hello hello, String reason) {
        notifyObservers(observer -> observer.down(hello, reason));
    }

    @Override
    public void unexpectedProcess(Hello hello) {
        notifyObservers(observer -> observer.unexpectedProcess(hello));
    }

    @Override
    public void received(Hello sender, Frame frame) {
        notifyObservers(observer -> observer.received(sender, frame));
    }

    private void notifyObservers(Consumer<LinkObserver> call) {
        for (LinkObserver observer : observers) {
            try {
                call.accept(observer);
            } catch (RuntimeException failure) {
                LOGGER.atWarning().withCause(failure).log("%s", EventLine.of("observer-failed"));
            }
        }
    }
}
