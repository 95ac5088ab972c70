package org.chivetally.resource;

import java.util.Optional;
import org.chivetally.document.Section;
import org.chivetally.vendor.VendorAdapter;
import org.chivetally.vendor.VendorAdapterSchema;
import tools.jackson.databind.node.JsonNodeFactory;
import tools.jackson.databind.node.ObjectNode;

/** Schema of backend servers. */
public final class BackendServerSchema implements ResourceSchema<BackendServerPolicy> {
    @Override
    public Optional<BackendServerPolicy> read(String name, Section spec) {
        String service = spec.requiredText("service");
        if (!service.isEmpty() && !ResourceKey.isName(service)) {
            spec.mistake("service", ResourceKey.NAME_RULE);
        }
        boolean draining = spec.flag("draining", false);
        Optional<VendorAdapter> state = VendorAdapterSchema.read(spec.section("state"));
        if (!spec.isValid()) {
            return Optional.empty();
        }
        return Optional.of(new BackendServerPolicy(name, service, draining, state));
    }

    @Override
    public ObjectNode write(BackendServerPolicy policy) {
        ObjectNode node = JsonNodeFactory.instance
                .objectNode()
                .put("service", policy.service())
                .put("draining", policy.draining());
        node.set("state", VendorAdapterSchema.write(policy.state()));
        return node;
    }
}
