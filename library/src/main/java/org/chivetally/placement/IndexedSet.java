package org.chivetally.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A set of agents with insertion, removal and access by position in constant time. The order is determined by the
 * sequence of insertions and removals alone, so that runs with the same seed are reproducible.
 */
final class IndexedSet {
    private final List<AgentView> agents = new ArrayList<>();
    private final Map<AgentView, Integer> positions = new HashMap<>();

    int size() {
        return agents.size();
    }

    List<AgentView> asList() {
        return Collections.unmodifiableList(agents);
    }

    AgentView get(int position) {
        return agents.get(position);
    }

    void add(AgentView agent) {
        if (positions.putIfAbsent(agent, agents.size()) == null) {
            agents.add(agent);
        }
    }

    void remove(AgentView agent) {
        Integer position = positions.remove(agent);
        if (position == null) {
            return;
        }
        AgentView last = agents.removeLast();
        if (last != agent) {
            agents.set(position, last);
            positions.put(last, position);
        }
    }

    void setContained(AgentView agent, boolean contained) {
        if (contained) {
            add(agent);
        } else {
            remove(agent);
        }
    }
}
