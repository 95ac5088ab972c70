package org.chivetally.queue.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.chivetally.time.Timers;
import org.chivetally.transport.FrameConnection;
import org.chivetally.transport.FrameListener;
import org.chivetally.wire.v1.Frame;

/**
 * In-memory network of processes that are identified by the names of their hosts. A test can drop frames silently or
 * reset connections.
 */
public final class MemoryNetwork {
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);

    private final Timers timers;
    /** Number of frames sent so far, by kind. */
    public final Map<Frame.BodyCase, Integer> sent = new EnumMap<>(Frame.BodyCase.class);

    /** Number of frames received so far, by receiving host and kind. */
    public final Map<String, Map<Frame.BodyCase, Integer>> received = new HashMap<>();

    private static final int HOSTS_PER_SUBNET = 250;

    private final Map<String, String> addresses = new HashMap<>();
    private final Map<String, String> hostsByAddress = new HashMap<>();
    private final Map<String, FrameListener> listeners = new HashMap<>();
    private BiConsumer<String, String> arrivalListener = (host, cause) -> {};
    private final Set<String> cutPaths = new HashSet<>();
    private final Set<String> stopped = new HashSet<>();
    private final List<Endpoint> endpoints = new ArrayList<>();

    /** Creates a network without processes. */
    public MemoryNetwork(Timers timers) {
        this.timers = timers;
    }

    /** Sets the listener that receives the host and the kind of each frame that arrives. */
    public void onArrival(BiConsumer<String, String> listener) {
        arrivalListener = listener;
    }

    /** Starts to accept connections on a host. */
    public void listen(String host, FrameListener listener) {
        listeners.put(host, listener);
        stopped.remove(host);
    }

    /** Returns the IP address by which other processes connect to a host. */
    public String addressOf(String host) {
        return addresses.computeIfAbsent(host, name -> {
            int number = addresses.size();
            String address = "10.0." + number / HOSTS_PER_SUBNET + "." + (1 + number % HOSTS_PER_SUBNET);
            hostsByAddress.put(address, name);
            return address;
        });
    }

    /** Returns the dialer of a host. */
    public Dialer dialer(String from) {
        return (address, port, listener) -> dial(from, hostsByAddress.getOrDefault(address, ""), listener);
    }

    /** Starts or ends a network partition between two hosts, in which frames are lost without an error. */
    public void setCut(String one, String other, boolean cut) {
        setPathCut(one, other, cut);
        setPathCut(other, one, cut);
    }

    /** Starts or ends the loss of the frames from one host to another. */
    public void setPathCut(String from, String to, boolean cut) {
        if (cut) {
            cutPaths.add(from + ">" + to);
        } else {
            cutPaths.remove(from + ">" + to);
        }
    }

    /** Ends a process: its connections are reset, and new ones to it fail. */
    public void kill(String host) {
        listeners.remove(host);
        stopped.add(host);
        for (Endpoint endpoint : List.copyOf(endpoints)) {
            if (endpoint.from.equals(host)) {
                endpoint.reset();
            }
        }
    }

    private void dial(String from, String to, FrameListener dialling) {
        FrameListener accepting = listeners.get(to);
        if (accepting == null || stopped.contains(from) || cutPaths.contains(from + ">" + to)) {
            timers.after(Duration.ofMillis(500), () -> dialling.disconnected(null, "dial failed"));
            return;
        }
        timers.after(ONE_WAY_DELAY, () -> {
            Endpoint dialler = new Endpoint(from, to, dialling);
            Endpoint acceptor = new Endpoint(to, from, accepting);
            dialler.other = acceptor;
            acceptor.other = dialler;
            endpoints.add(dialler);
            endpoints.add(acceptor);
            accepting.connected(acceptor);
            dialling.connected(dialler);
        });
    }

    private final class Endpoint implements FrameConnection {
        private final String from;
        private final String to;
        private final FrameListener listener;
        private Endpoint other;
        private boolean open = true;

        private Endpoint(String from, String to, FrameListener listener) {
            this.from = from;
            this.to = to;
            this.listener = listener;
        }

        @Override
        public void send(Frame frame) {
            if (!open || cutPaths.contains(from + ">" + to)) {
                return;
            }
            sent.merge(frame.getBodyCase(), 1, Integer::sum);
            Endpoint receiver = other;
            timers.after(ONE_WAY_DELAY, () -> {
                if (receiver.open) {
                    received.computeIfAbsent(receiver.from, host -> new EnumMap<>(Frame.BodyCase.class))
                            .merge(frame.getBodyCase(), 1, Integer::sum);
                    arrivalListener.accept(receiver.from, "frame " + frame.getBodyCase());
                    receiver.listener.received(receiver, frame);
                }
            });
        }

        @Override
        public void close() {
            reset();
        }

        private void reset() {
            if (!open) {
                return;
            }
            open = false;
            endpoints.remove(this);
            listener.disconnected(this, "closed");
            if (!cutPaths.contains(from + ">" + to)) {
                timers.after(ONE_WAY_DELAY, other::reset);
            }
        }

        @Override
        public String peer() {
            return to;
        }
    }
}
