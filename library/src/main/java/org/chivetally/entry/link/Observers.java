package org.chivetally.entry.link;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.chivetally.logging.EventLine;
import org.chivetally.wire.v1.Frame;
import org.chivetally.wire.v1.Hello;

/** Forwards events to several observers. An exception of one is logged and affects neither the others nor the links. */
public final class Observers implements LinkObserver {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final List<LinkObserver> observers = new CopyOnWriteArrayList<>();

    /** Adds an observer, which is called on the threads that drive the links and must not block. */
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
